//! Injects faults into a site: begins each fault, holds it, and ends it.

mod configuration;
mod disk;
mod links;
mod processes;
mod stand_ins;
mod upgrade;

use super::Site;
use crate::Error;
use crate::history::Observation;
use crate::network::LinkQuality;
use crate::schedule::FaultKind;
use std::time::Duration;

/// A fault that is being injected.
#[derive(Clone, Copy)]
struct ActiveFault<'a> {
    /// Index of the fault in the schedule.
    index: usize,
    kind: &'a FaultKind,
    /// Blocks until the fault has to end.
    wait_for_end: &'a dyn Fn(),
}

/// The deviations from the rules that a fault permits.
#[derive(Clone, Debug, Default)]
struct FaultScope {
    /// Gatekeepers whose clients may miss answers.
    affected: Vec<String>,
    /// Whether attempts may arrive late at backends.
    delays_attempts: bool,
}

impl Site {
    /// Begins a fault, holds it until `wait_for_end` returns, and ends it. Returns false if nothing was injected, because the
    /// fault selects no gatekeeper without another active fault.
    ///
    /// # Errors
    ///
    /// A file cannot be written, or a gatekeeper does not serve again after the fault.
    pub fn inject_fault(
        &self,
        index: usize,
        kind: &FaultKind,
        wait_for_end: &dyn Fn(),
    ) -> Result<bool, Error> {
        let fault = ActiveFault { index, kind, wait_for_end };
        match kind {
            FaultKind::Cut { from, to, one_way: true } => {
                self.degrade_links(&fault, self.links_one_way(from, to), LinkQuality::cut())
            }
            FaultKind::Cut { from, to, one_way: false } => {
                self.degrade_links(&fault, self.links_both_ways(from, to), LinkQuality::cut())
            }
            FaultKind::Closed { from, to } => {
                self.degrade_links(&fault, self.links_both_ways(from, to), LinkQuality::closed())
            }
            FaultKind::Degraded { from, to, .. } => {
                self.degrade_links(&fault, self.links_both_ways(from, to), links::degraded_quality(kind))
            }
            FaultKind::Flapping { from, to, period_ms } => {
                let period = Duration::from_millis(*period_ms);
                self.flap_links(&fault, &self.links_both_ways(from, to), period)
            }
            FaultKind::Consul { target, mode } => self.fail_consul(&fault, target, *mode),
            FaultKind::Counter { mode } => self.fail_counter(&fault, *mode),
            FaultKind::Backends { target, mode } => self.fail_backends(&fault, target, *mode),
            FaultKind::Drained { target } => self.drain_backends(&fault, target),
            FaultKind::VersionProposed { target, units_per_second } => {
                self.propose_versions(&fault, target, *units_per_second)
            }
            FaultKind::KeyRotation { target } => self.rotate_gossip_key(&fault, target),
            FaultKind::Killed { target }
            | FaultKind::ShutDown { target }
            | FaultKind::Suspended { target }
            | FaultKind::Throttled { target }
            | FaultKind::ClockOffset { target, .. }
            | FaultKind::NameConflict { target, .. }
            | FaultKind::JobsChanged { target, .. }
            | FaultKind::Disk { target, .. }
            | FaultKind::Upgrade { target, .. } => self.fault_members(&fault, target),
        }
    }

    /// Records the begin of a fault, runs the action that injects and ends it, and records the end.
    fn record_fault(
        &self,
        fault: &ActiveFault<'_>,
        scope: &FaultScope,
        action: impl FnOnce() -> Result<(), Error>,
    ) -> Result<bool, Error> {
        let record = |begins| {
            self.recorder.record(Observation::Fault {
                index: fault.index,
                kind: fault.kind.name(),
                begins,
                affected: scope.affected.clone(),
                delays_attempts: scope.delays_attempts,
            });
        };
        record(true);
        let result = action();
        record(false);
        result.map(|()| true)
    }
}

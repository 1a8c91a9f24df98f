//! Faults of stand-ins: Consul, the counter and the backends.

use super::{ActiveFault, FaultScope};
use crate::Error;
use crate::schedule::FailureMode;
use crate::site::{SERVICE, Site};
use crate::stand_ins::FailureSwitch;
use stand_in_consul::{CheckStatus, Fault as ConsulFault};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Additional time until a slow Consul answers.
const SLOW_ANSWER: Duration = Duration::from_millis(200);

fn consul_fault(mode: FailureMode) -> ConsulFault {
    match mode {
        FailureMode::Silent => ConsulFault::Silent,
        FailureMode::Slow => ConsulFault::Delay(SLOW_ANSWER),
        FailureMode::Error => ConsulFault::Status(500),
        FailureMode::ResponseLost => ConsulFault::ResponseLost,
        FailureMode::ResponseTruncated => ConsulFault::ResponseTruncated,
        FailureMode::Closed => ConsulFault::Closed,
        FailureMode::RestartedEmpty => ConsulFault::None,
    }
}

/// Makes stand-ins fail for as long as the fault lasts.
fn fail_until_end<'a>(
    fault: &ActiveFault<'_>,
    switches: impl IntoIterator<Item = &'a FailureSwitch> + Clone,
    mode: FailureMode,
) {
    switches.clone().into_iter().for_each(|switch| switch.set_mode(Some(mode)));
    (fault.wait_for_end)();
    switches.into_iter().for_each(|switch| switch.set_mode(None));
}

impl Site {
    pub(super) fn fail_consul(
        &self,
        fault: &ActiveFault<'_>,
        target: &str,
        mode: FailureMode,
    ) -> Result<bool, Error> {
        self.record_fault(fault, &FaultScope::default(), || {
            if mode == FailureMode::RestartedEmpty {
                self.consul.restart_empty();
            }
            let members = self.selected_members(target);
            let agents = || members.iter().flat_map(|&i| &self.members[i].consul_agents);
            agents().for_each(|agent| agent.fail(consul_fault(mode)));
            (fault.wait_for_end)();
            agents().for_each(|agent| agent.fail(ConsulFault::None));
            Ok(())
        })
    }

    pub(super) fn fail_counter(&self, fault: &ActiveFault<'_>, mode: FailureMode) -> Result<bool, Error> {
        self.record_fault(fault, &FaultScope::default(), || {
            if mode == FailureMode::RestartedEmpty {
                self.counter.clear();
            }
            fail_until_end(fault, [&self.counter.failure], mode);
            Ok(())
        })
    }

    pub(super) fn fail_backends(
        &self,
        fault: &ActiveFault<'_>,
        target: &str,
        mode: FailureMode,
    ) -> Result<bool, Error> {
        self.record_fault(fault, &FaultScope::default(), || {
            let backends = self.selected_backends(target);
            fail_until_end(fault, backends.iter().map(|backend| &backend.failure), mode);
            Ok(())
        })
    }

    pub(super) fn drain_backends(&self, fault: &ActiveFault<'_>, target: &str) -> Result<bool, Error> {
        self.record_fault(fault, &FaultScope::default(), || {
            self.set_draining(target, true);
            (fault.wait_for_end)();
            self.set_draining(target, false);
            Ok(())
        })
    }

    /// Marks backends as draining, or as up, in the catalogue and in discovery's list.
    fn set_draining(&self, target: &str, is_draining: bool) {
        let names: Vec<String> = self.selected_backends(target).iter().map(|b| b.name.clone()).collect();
        names.iter().for_each(|name| self.discovery.set_draining(name, is_draining));
        let index = self.catalogue_index.fetch_add(1, Ordering::Relaxed) + 1;
        self.consul.update(|state| {
            for service in state.services.get_mut(SERVICE).into_iter().flatten() {
                if names.contains(&service.id) {
                    service.status = if is_draining { CheckStatus::Critical } else { CheckStatus::Passing };
                }
            }
            state.services_index = index;
        });
    }
}

//! Schedules of overlapping faults, drawn from a seed.

mod fault;
mod generator;

#[cfg(test)]
mod tests;

pub use fault::{CallFaults, FaultKind, RestartKind};

use crate::settings::Settings;
use generator::{draw_duration, draw_kind};
use std::time::Duration;

/// Number of faults for each second of a schedule's length.
const FAULTS_PER_SECOND: f64 = 1.6;
/// Time before the first fault, in which token buckets and rate estimates settle.
const QUIET_START: Duration = Duration::from_millis(1_500);
/// Minimum time between the start of the last fault and the end of the schedule.
const QUIET_END: Duration = Duration::from_millis(3_000);

/// A fault of the soak test, with its start and its duration.
pub type Fault = fault_harness::schedule::Fault<FaultKind>;

/// The faults of one run, and the settings of its site.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The seed that the schedule is drawn from.
    pub seed: u64,
    /// Minimum duration of the schedule. Faults that last longer extend it.
    pub length: Duration,
    /// Classes, tenants, time windows and limits that the site runs with.
    pub settings: Settings,
    /// The faults of the schedule, in the order of their starts.
    pub faults: Vec<Fault>,
}

impl Schedule {
    /// Draws the schedule of a seed. The same seed always gives the same schedule.
    pub fn draw(seed: u64, gatekeepers: usize, length: Duration) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let settings = Settings::draw(&mut random, gatekeepers);
        let count = (length.as_secs_f64() * FAULTS_PER_SECOND) as usize;
        let last = length.saturating_sub(QUIET_END).max(QUIET_START);
        let mut faults: Vec<Fault> = (0..count)
            .map(|_| {
                let fraction = random.f64();
                let start = QUIET_START + (last - QUIET_START).mul_f64(fraction);
                let kind = draw_kind(&mut random, &settings);
                Fault::new(start, draw_duration(&mut random, kind), kind)
            })
            .collect();
        faults.sort_by_key(|fault| fault.start);
        Self { seed, length, settings, faults }
    }
}

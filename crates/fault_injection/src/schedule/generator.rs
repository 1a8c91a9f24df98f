//! Generates a schedule from a seed. A seed must give the same schedule in every version, so the order of the random draws must
//! not change.

use super::{DiskFault, FailureMode, Fault, FaultKind, Form, Schedule, SiteOptions};
use std::ops::RangeInclusive;

const GATEKEEPERS: RangeInclusive<usize> = 5..=12;
const BACKENDS: RangeInclusive<usize> = 4..=8;
const FAULTS: RangeInclusive<usize> = 2..=5;
/// One in this many generated schedules is for gatekeepers of the platform.
const PLATFORM_ONE_IN: u32 = 3;
/// Maximum offset of a generated clock, ms.
const MAX_CLOCK_OFFSET_MS: i64 = 140;

impl Schedule {
    /// Generates a site and two to five faults of any kind within `length_ms`, which may overlap.
    pub fn from_seed(seed: u64, length_ms: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let form = if random.u32(0..PLATFORM_ONE_IN) == 0 { Form::Platform } else { Form::Appliance };
        let gatekeepers = random.usize(GATEKEEPERS);
        let backends = random.usize(BACKENDS);
        let mut generator = FaultGenerator { random, form, gatekeepers, backends };
        let count = generator.random.usize(FAULTS);
        let mut faults: Vec<Fault> = (0..count).map(|_| generator.fault(length_ms)).collect();
        faults.sort_by_key(|fault| fault.start);
        Self {
            name: format!("seed {seed}"),
            seed,
            form,
            gatekeepers,
            backends,
            length_ms,
            options: SiteOptions::default(),
            faults,
        }
    }
}

/// Generates faults for a site.
struct FaultGenerator {
    random: fastrand::Rng,
    form: Form,
    gatekeepers: usize,
    backends: usize,
}

impl FaultGenerator {
    fn fault(&mut self, length_ms: u64) -> Fault {
        let start_ms = self.random.u64(length_ms / 10..length_ms / 2);
        let duration_ms = self.random.u64(length_ms / 20..length_ms * 2 / 5);
        Fault::from_millis(start_ms, duration_ms, self.kind())
    }

    fn gatekeeper(&mut self) -> String {
        format!("m{}", self.random.usize(0..self.gatekeepers))
    }

    fn backend(&mut self) -> String {
        format!("l{}", self.random.usize(0..self.backends))
    }

    /// Selects one gatekeeper, a zone, or all nodes.
    fn gatekeepers(&mut self) -> String {
        match self.random.u32(0..8) {
            0 => format!("zone:{}", ["a", "b", "c"][self.random.usize(0..3)]),
            1 => "*".into(),
            _ => self.gatekeeper(),
        }
    }

    /// The two sides of a faulty link: gatekeepers and a node that they exchange traffic with, or two zones or regions.
    fn sides(&mut self) -> (String, String) {
        let is_appliance = self.form == Form::Appliance;
        let from = self.gatekeepers();
        let to = match self.random.u32(0..8) {
            0 if is_appliance => "consul".into(),
            0 => "discovery".into(),
            1 => "counter".into(),
            2 => self.backend(),
            3 => "load".into(),
            4 => return ("zone:a".into(), "zone:b".into()),
            5 => return ("region:north".into(), "region:south".into()),
            _ if is_appliance => self.gatekeeper(),
            _ => self.backend(),
        };
        (from, to)
    }

    fn failure_mode(&mut self) -> FailureMode {
        FailureMode::ALL[self.random.usize(0..FailureMode::ALL.len())]
    }

    fn kind(&mut self) -> FaultKind {
        match self.random.u32(0..16) {
            0 | 1 => {
                let (from, to) = self.sides();
                FaultKind::Cut { from, to, one_way: self.random.bool() }
            }
            2 => {
                let (from, to) = self.sides();
                FaultKind::Closed { from, to }
            }
            3 | 4 => self.degraded_link(),
            5 => {
                let (from, to) = self.sides();
                FaultKind::Flapping { from, to, period_ms: self.random.u64(100..1_000) }
            }
            6 | 7 => FaultKind::Killed { target: self.gatekeepers() },
            8 => FaultKind::ShutDown { target: self.gatekeeper() },
            9 => FaultKind::Suspended { target: self.gatekeepers() },
            10 => FaultKind::Throttled { target: self.gatekeeper() },
            11 => FaultKind::Counter { mode: self.failure_mode() },
            12 => FaultKind::Backends { target: self.backend(), mode: self.failure_mode() },
            13 => FaultKind::Drained { target: self.backend() },
            _ if self.form == Form::Platform => self.upgrade(),
            14 => self.appliance_fault(),
            _ => self.disk_fault(),
        }
    }

    /// A link of which one property is degraded.
    fn degraded_link(&mut self) -> FaultKind {
        let (from, to) = self.sides();
        let property = self.random.u32(0..6);
        let share = f64::from(self.random.u32(1..=4)) / 10.0;
        let if_drawn = |number: u32, value: f64| if property == number { value } else { 0.0 };
        FaultKind::Degraded {
            from,
            to,
            reset: if_drawn(0, share / 4.0),
            loss: if_drawn(1, share),
            duplicate: if_drawn(2, share),
            reorder: if_drawn(3, share),
            delay_ms: if property == 4 { self.random.u64(5..60) } else { 0 },
            jitter_ms: if property == 4 { self.random.u64(0..60) } else { 0 },
            bytes_per_s: if property == 5 { self.random.u64(4_000..64_000) } else { 0 },
        }
    }

    /// A fault that only appliances can have: of the clock, the gossip key, the member name or Consul.
    fn appliance_fault(&mut self) -> FaultKind {
        match self.random.u32(0..8) {
            0..3 => {
                let offset_ms = self.random.i64(-MAX_CLOCK_OFFSET_MS..MAX_CLOCK_OFFSET_MS);
                let running = self.random.bool();
                FaultKind::ClockOffset { target: self.gatekeeper(), offset_ms, running }
            }
            3 => FaultKind::KeyRotation { target: self.gatekeepers() },
            4 => FaultKind::NameConflict { target: self.gatekeeper(), name: self.gatekeeper() },
            _ => FaultKind::Consul { target: self.gatekeepers(), mode: self.failure_mode() },
        }
    }

    fn disk_fault(&mut self) -> FaultKind {
        let fault = match self.random.u32(0..4) {
            0 => DiskFault::Torn(self.random.u32(0..1_000)),
            1 => DiskFault::Full,
            2 => DiskFault::ReadOnly,
            _ => DiskFault::Lost,
        };
        FaultKind::Disk { target: self.gatekeeper(), fault }
    }

    /// An upgrade in which either process may be killed. The hand-over lasts a few milliseconds; the drawn time of the kill falls
    /// before, within or after it.
    fn upgrade(&mut self) -> FaultKind {
        let target = self.gatekeeper();
        let dies_after_us =
            1_000 * self.random.u64(0..12) * self.random.u64(1..12) + self.random.u64(0..2_000);
        let (new_dies_after_us, old_dies_after_us) = match self.random.u32(0..3) {
            0 => (None, None),
            1 => (None, Some(dies_after_us)),
            _ => (Some(dies_after_us), None),
        };
        FaultKind::Upgrade { target, new_dies_after_us, old_dies_after_us }
    }
}

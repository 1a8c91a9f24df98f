//! Measures latencies and backend load under combinations of backend service times and attempt settings.

use crate::backend::{HEALTHY_SERVICE_TIME, SLOW_SERVICE_TIME, ServiceTime};
use crate::settings::IdempotentClass;
use crate::site::{BACKENDS, LoadResult, TestSite};
use std::time::Duration;
use system_tests::Table;

const LATENCY_OBJECTIVE: Duration = Duration::from_millis(600);
const DEADLINE: Duration = Duration::from_millis(2_500);
/// Service time of each backend in the profile in which all are slow.
const ALL_SLOW: ServiceTime = ServiceTime::Constant(Duration::from_millis(150));
/// Minimum share of requests that are served under each combination.
const MIN_SERVED_SHARE: f64 = 0.95;
/// Maximum number of attempts per request. The retry budget of the policy is a tenth of the admitted requests and starts with
/// five retries.
const MAX_ATTEMPTS_PER_REQUEST: f64 = 1.15;
/// Maximum 99th percentile of latencies with hedging relative to that with one attempt, both with occasionally slow backends.
const MAX_TAIL_RATIO: f64 = 0.5;

/// A named choice of service times for the backends.
struct BackendProfile {
    name: &'static str,
    first_backend: ServiceTime,
    other_backends: ServiceTime,
}

/// Name of the profile in which all backends are occasionally slow.
const OCCASIONALLY_SLOW: &str = "one answer in fifty slow";

const BACKEND_PROFILES: [BackendProfile; 3] = [
    BackendProfile {
        name: "one of ten slow",
        first_backend: ServiceTime::Constant(SLOW_SERVICE_TIME),
        other_backends: ServiceTime::Constant(HEALTHY_SERVICE_TIME),
    },
    BackendProfile {
        name: OCCASIONALLY_SLOW,
        first_backend: ServiceTime::OccasionallySlow,
        other_backends: ServiceTime::OccasionallySlow,
    },
    BackendProfile { name: "all slow", first_backend: ALL_SLOW, other_backends: ALL_SLOW },
];

/// Named settings of a class on attempts, retries and hedging.
struct AttemptSettings {
    name: &'static str,
    /// Lines of TOML.
    toml: &'static str,
}

/// Name of the settings with a single attempt.
const ONE_ATTEMPT: &str = "one attempt";
/// Name of the settings with retries and hedging.
const HEDGED: &str = "three of 200 ms, copies after 100 ms";

const ATTEMPT_SETTINGS: [AttemptSettings; 3] = [
    AttemptSettings { name: ONE_ATTEMPT, toml: "attempts = 1" },
    AttemptSettings { name: "nothing stated", toml: "" },
    AttemptSettings { name: HEDGED, toml: "attempts = 3\nattempt_ms = 200\ncopy_after_ms = 100" },
];

/// The load result of one combination of profile and settings.
struct Measurement {
    profile: &'static str,
    settings: &'static str,
    load: LoadResult,
}

/// The load results of all combinations.
pub(crate) struct LatencyReport {
    measurements: Vec<Measurement>,
}

/// Measures all combinations and prints a table with one row for each.
pub(crate) fn measure(site: &TestSite<'_>) -> LatencyReport {
    site.list_backends(12, BACKENDS);
    println!(
        "| destinations | attempts and copies | 50th ms | 99th ms | 99.9th ms | attempts a request | served |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let mut measurements = Vec::new();
    for profile in &BACKEND_PROFILES {
        for settings in &ATTEMPT_SETTINGS {
            let measurement = measure_combination(site, profile, settings);
            measurement.print();
            measurements.push(measurement);
        }
    }
    println!();
    LatencyReport { measurements }
}

fn measure_combination(
    site: &TestSite<'_>,
    profile: &BackendProfile,
    settings: &AttemptSettings,
) -> Measurement {
    site.set_service_times(
        |backend| if backend == 0 { profile.first_backend } else { profile.other_backends },
    );
    let class = IdempotentClass {
        latency_objective: LATENCY_OBJECTIVE,
        deadline: DEADLINE,
        further_settings: settings.toml.to_owned(),
    };
    let gatekeeper = site.start_gatekeeper(&class.to_toml());
    let load = site.run_load(gatekeeper.address);
    Measurement { profile: profile.name, settings: settings.name, load }
}

impl Measurement {
    fn print(&self) {
        let Self { profile, settings, load } = self;
        println!(
            "| {profile} | {settings} | {:.0} | {:.0} | {:.0} | {:.3} | {:.3} |",
            load.latencies_ms.percentile(0.5),
            load.latencies_ms.percentile(0.99),
            load.latencies_ms.percentile(0.999),
            load.attempts_per_request,
            load.served_share
        );
    }
}

impl LatencyReport {
    /// Adds the figures that have bounds.
    pub(crate) fn add_to(&self, table: &mut Table) {
        for Measurement { profile, settings, load } in &self.measurements {
            let name = format!("{profile}, {settings}: served share");
            table.add_with_minimum(&name, load.served_share, MIN_SERVED_SHARE);
        }
        table.add_with_maximum(
            "attempts a request at the most",
            self.max_attempts_per_request(),
            MAX_ATTEMPTS_PER_REQUEST,
        );
        let tail_ratio = self.occasionally_slow_tail_ms(HEDGED) / self.occasionally_slow_tail_ms(ONE_ATTEMPT);
        let name = "99th ms with three attempts against one, one answer in fifty slow";
        table.add_with_maximum(name, tail_ratio, MAX_TAIL_RATIO);
    }

    /// Returns the maximum number of attempts per request over all combinations.
    pub(crate) fn max_attempts_per_request(&self) -> f64 {
        let attempts = self.measurements.iter().map(|measurement| measurement.load.attempts_per_request);
        attempts.fold(0.0, f64::max)
    }

    /// Returns the 99th percentile of latencies in ms under these settings with occasionally slow backends.
    fn occasionally_slow_tail_ms(&self, settings: &str) -> f64 {
        let is_wanted = |measurement: &&Measurement| {
            measurement.profile == OCCASIONALLY_SLOW && measurement.settings == settings
        };
        let measurement =
            self.measurements.iter().find(is_wanted).expect("a measurement for each profile and settings");
        measurement.load.latencies_ms.percentile(0.99)
    }
}

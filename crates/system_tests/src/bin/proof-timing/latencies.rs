//! Latencies and load, by how slow backends are and by how attempts are set.

use crate::backend::{Latency, QUICK_MS, SLOW_MS};
use crate::settings::idempotent;
use crate::site::{BACKENDS, LoadResult, TestSite};
use system_tests::{Table, percentile};

/// What each backend takes where all are slow.
const ALL_SLOW_MS: u64 = 150;

/// How slow the backends are.
struct Slowness {
    name: &'static str,
    first: Latency,
    others: Latency,
}

const SLOWNESS: [Slowness; 3] = [
    Slowness { name: "one of ten slow", first: Latency::Ms(SLOW_MS), others: Latency::Ms(QUICK_MS) },
    Slowness {
        name: "one answer in fifty slow",
        first: Latency::SometimesSlow,
        others: Latency::SometimesSlow,
    },
    Slowness { name: "all slow", first: Latency::Ms(ALL_SLOW_MS), others: Latency::Ms(ALL_SLOW_MS) },
];

/// How attempts are set: a name, and the settings.
const CLASSES: [(&str, &str); 3] = [
    ("one attempt", "attempts = 1"),
    ("nothing stated", ""),
    ("three of 200 ms, copies after 100 ms", "attempts = 3\nattempt_ms = 200\ncopy_after_ms = 100"),
];

fn print_row(slowness: &str, class: &str, result: &LoadResult) {
    let at = |share| percentile(&result.latencies_ms, share);
    println!(
        "| {slowness} | {class} | {:.0} | {:.0} | {:.0} | {:.3} | {:.3} |",
        at(0.5),
        at(0.99),
        at(0.999),
        result.attempts,
        result.served
    );
}

/// Prints latencies, adds what must hold to the table, and returns the most attempts for each request.
pub(crate) fn measure(site: &TestSite<'_>, table: &mut Table) -> f64 {
    site.list_backends(12, BACKENDS);
    println!(
        "| destinations | attempts and copies | 50th ms | 99th ms | 99.9th ms | attempts a request | served |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let (mut most_attempts, mut tails_ms) = (0.0f64, Vec::new());
    for Slowness { name, first, others } in SLOWNESS {
        for (class_name, class) in CLASSES {
            site.set_latencies(|i| if i == 0 { first } else { others });
            let gatekeeper = site.start_gatekeeper(&idempotent(600, 2_500, class));
            let result = site.load(gatekeeper.address);
            print_row(name, class_name, &result);
            most_attempts = most_attempts.max(result.attempts);
            if first == Latency::SometimesSlow {
                tails_ms.push(percentile(&result.latencies_ms, 0.99));
            }
            table.add_with_minimum(&format!("{name}, {class_name}: served share"), result.served, 0.95);
        }
    }
    println!();
    // The policy's share of further attempts is a tenth of what was admitted, and it begins with five.
    table.add_with_maximum("attempts a request at the most", most_attempts, 1.15);
    let name = "99th ms with three attempts against one, one answer in fifty slow";
    table.add_with_maximum(name, tails_ms[2] / tails_ms[0], 0.5);
    most_attempts
}

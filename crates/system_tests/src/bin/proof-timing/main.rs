//! Time-outs and hedging of a class on a real gatekeeper.
//!
//! 1. Settings that contradict each other are rejected, each for its own reason.
//! 2. An attempt ends at its time-out.
//! 3. Retries and hedged requests are measured by their effect on latencies and load, where one of ten backends is slow, where
//!    some responses of each are slow, and where all backends are slow.

mod attempt_timeouts;
mod backend;
mod client;
mod latencies;
mod rejections;
mod settings;
mod site;

use latencies::LatencyReport;
use rejections::Rejections;
use site::TestSite;
use std::process::ExitCode;
use system_tests::{Table, TestDirectory, milliseconds};

/// Maximum difference between the time-out of an attempt and its duration, ms.
const MAX_TIMEOUT_DEVIATION_MS: f64 = 10.0;

fn main() -> ExitCode {
    let directory = TestDirectory::new("timing");
    directory.write("loans.json", settings::API_DESCRIPTION);
    let rejections = rejections::check_invalid_settings(&directory);
    let site = TestSite::start(&directory);
    let deviation_ms = milliseconds(attempt_timeouts::max_deviation(&site));
    let latencies = latencies::measure(&site);
    report(&rejections, deviation_ms, &latencies)
}

/// Prints the table and the last line.
fn report(rejections: &Rejections, deviation_ms: f64, latencies: &LatencyReport) -> ExitCode {
    let mut table = Table::default();
    rejections.add_to(&mut table);
    table.add_with_maximum(
        "an attempt ends off its time by, ms, at the most",
        deviation_ms,
        MAX_TIMEOUT_DEVIATION_MS,
    );
    latencies.add_to(&mut table);
    let verdict = table.print();
    println!(
        "proof timing: {} of {} bad files refused, attempts off by {deviation_ms:.1} ms at most, {:.3} attempts a request, {verdict}",
        rejections.rejected_files,
        rejections.files,
        latencies.max_attempts_per_request()
    );
    verdict.into()
}

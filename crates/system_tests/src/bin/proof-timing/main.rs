//! Tests attempt timeouts, retries and hedging of a class on real gatekeepers, in three parts.
//!
//! 1. Invalid settings are rejected, each with the error of the rule that they violate.
//! 2. An attempt ends when its timeout elapses.
//! 3. The effect of retries and hedged requests on latencies and load is measured with one slow backend out of ten, with some
//!    slow responses of each backend, and with all backends slow.

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

/// Maximum difference between the timeout of an attempt and its measured duration, ms.
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

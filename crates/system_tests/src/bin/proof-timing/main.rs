//! Time-outs and hedging of a class on a real gatekeeper: settings that cannot be kept are rejected for their own reasons, an
//! attempt ends at its time, and what attempts and hedged requests do to latencies and load where one of ten backends is slow,
//! where some answers of each are, and where all are.

mod attempts;
mod backend;
mod client;
mod latencies;
mod rejections;
mod settings;
mod site;

use site::TestSite;
use std::process::ExitCode;
use system_tests::{Table, TestDirectory};

fn main() -> ExitCode {
    let (folder, mut table) = (TestDirectory::new("timing"), Table::default());
    folder.write("loans.json", settings::API_DESCRIPTION);
    let rejections = rejections::count(&folder);
    table.add("bad files", rejections.files);
    table.add_with_minimum(
        "... refused for their own reason",
        rejections.rejected as f64,
        rejections.files as f64,
    );
    let site = TestSite::start(&folder);
    let deviation_ms = attempts::measure(&site);
    table.add_with_maximum("an attempt ends off its time by, ms, at the most", deviation_ms, 10.0);
    let most_attempts = latencies::measure(&site, &mut table);
    let verdict = table.print();
    println!(
        "proof timing: {} of {} bad files refused, attempts off by {deviation_ms:.1} ms at most, {most_attempts:.3} attempts a request, {verdict}",
        rejections.rejected, rejections.files
    );
    verdict.into()
}

//! The endpoint list through Consul's faults: one real gatekeeper with two Consul agents, and 12 backends under steady load. For
//! each drain the time of the change and of the last request that came there.

mod report;
mod requests;
mod scenario;
mod sizes;
mod timeline;

use fault_injection::schedule::{Form, Schedule, SiteOptions};
use fault_injection::site::{Site, write_common_files};
use std::process::ExitCode;
use system_tests::{Error, Table, Verdict, release_build};

const BACKENDS: usize = 12;
const CLIENTS: usize = 6;
/// Duration of each outage, s.
const OUTAGE_S: f64 = 30.0;
/// Number of flaps, one a second.
const FLAPS: u32 = 60;

fn schedule() -> Schedule {
    let options = SiteOptions {
        jobs: 0,
        consul_agents: 2,
        load: false,
        health_checks: false,
        ..SiteOptions::default()
    };
    Schedule {
        name: "catalogue".into(),
        seed: 1,
        form: Form::Appliance,
        gatekeepers: 1,
        backends: BACKENDS,
        length_ms: 0,
        options,
        faults: Vec::new(),
    }
}

/// Runs the scenario, prints the report and returns its verdict.
fn run() -> Result<Verdict, Error> {
    let folder = std::env::temp_dir().join(format!("sf-catalogue-{}", std::process::id()));
    write_common_files(&folder)?;
    let site = Site::start(&schedule(), &release_build(), &folder)?;
    let timeline = scenario::run(&site);
    site.shut_down();
    let _ = std::fs::remove_dir_all(&folder);
    let mut table = Table::default();
    let summary = report::report(&mut table, &timeline?, &site.recorder.records_by_time());
    let verdict = table.print();
    println!("proof catalogue: {summary}, {verdict}");
    Ok(verdict)
}

fn main() -> ExitCode {
    match run() {
        Ok(verdict) => verdict.into(),
        Err(error) => {
            eprintln!("proof catalogue: {error}");
            ExitCode::FAILURE
        }
    }
}

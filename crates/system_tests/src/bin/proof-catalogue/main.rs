//! Tests how a gatekeeper keeps its endpoint list while Consul and its catalogue fail. One real gatekeeper with two Consul agents
//! forwards a steady load to 12 backends.
//!
//! The scenario takes about six minutes and records the span of each of its steps. The report evaluates the history of the site
//! within these spans: for example, for each drain, the time from the change of the catalogue to the last request that reached
//! the drained backend.

mod load;
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

fn main() -> ExitCode {
    match run() {
        Ok(verdict) => verdict.into(),
        Err(error) => {
            eprintln!("proof catalogue: {error}");
            ExitCode::FAILURE
        }
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

/// Returns a schedule without faults, because the scenario injects its faults itself.
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

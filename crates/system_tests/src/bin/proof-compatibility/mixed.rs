//! Half of a cluster runs the old build and half the new one.

use crate::{Pair, propose, proposed_versions, report_convergence, run_and_report, schedule};
use fault_injection::history::{Observation, Record};
use fault_injection::schedule::{Form, SiteOptions};
use fault_injection::site::JOB_PERIOD_MS;
use std::collections::{BTreeMap, BTreeSet};
use system_tests::{Error, SoleVersion, Table, sole_version};

const GATEKEEPERS: usize = 6;
const JOBS: usize = 8;
const LENGTH_MS: u64 = 14_000;
/// All periodic jobs run from then on.
const JOBS_RUN_FROM_MS: u64 = 4_000;
/// The last version that is proposed.
const LAST_VERSION: u64 = 2;

/// Runs of periodic jobs.
struct JobRuns<'a> {
    /// How many there were.
    count: usize,
    /// How many of these happened again.
    repeated: usize,
    /// The instances that ran jobs, also before all did.
    instances: BTreeSet<&'a str>,
}

impl<'a> JobRuns<'a> {
    fn of(history: &'a [Record]) -> Self {
        let from_us = history.first().map_or(0, |record| record.at_us) + 1_000 * JOBS_RUN_FROM_MS;
        let (mut count, mut distinct, mut instances) = (0, BTreeSet::new(), BTreeSet::new());
        for Record { at_us, observation } in history {
            let Observation::JobRan { job, run, instance } = observation else { continue };
            instances.insert(instance.as_str());
            if *at_us >= from_us {
                count += 1;
                distinct.insert((job.as_str(), *run));
            }
        }
        Self { count, repeated: count - distinct.len(), instances }
    }

    fn on_old_build(&self) -> usize {
        self.instances.iter().filter(|instance| runs_old_build(instance)).count()
    }
}

fn runs_old_build(instance: &str) -> bool {
    let number = instance.strip_prefix('m').and_then(|number| number.parse::<usize>().ok());
    number.is_some_and(|number| number.is_multiple_of(2))
}

/// The last version on which each gatekeeper acts alone.
fn last_versions(history: &[Record]) -> BTreeMap<&str, u64> {
    let sole = history.iter().filter_map(|record| sole_version(&record.observation));
    sole.map(|SoleVersion { gatekeeper, version }| (gatekeeper, version)).collect()
}

/// Returns how many requests there were.
pub(crate) fn run(pair: &Pair, table: &mut Table) -> Result<u64, Error> {
    let options =
        SiteOptions { replicas: 3, jobs: JOBS, standbys: GATEKEEPERS - 1, ..SiteOptions::default() };
    let faults = vec![propose(5_000, "m4", 16.0), propose(8_000, "m5", 12.0)];
    let schedule = schedule("mixed", Form::Appliance, GATEKEEPERS, LENGTH_MS, options, faults);
    let result = run_and_report(&schedule, pair.by_gatekeeper(), table)?;
    // The schedule begins once all see all others alive; without that a rule is broken.
    report_convergence(&result, "mixed", table);
    let runs = JobRuns::of(&result.history);
    let expected = JOBS as f64 * (LENGTH_MS - JOBS_RUN_FROM_MS) as f64 / JOB_PERIOD_MS as f64;
    table.add_with_minimum("mixed: runs of periodic jobs", runs.count as f64, 0.95 * expected);
    table.add_with_maximum("mixed: runs of a period that had run", runs.repeated as f64, 0.0);
    let old = runs.on_old_build();
    let new = runs.instances.len() - old;
    table.add_with_minimum("mixed: instances of the old build that ran jobs", old as f64, 1.0);
    table.add_with_minimum("mixed: instances of the new build that ran jobs", new as f64, 1.0);
    let last = last_versions(&result.history);
    let reached = last.values().filter(|version| **version == LAST_VERSION).count();
    let versions = proposed_versions(&result.history);
    table.add("mixed: versions proposed, by each build", format!("{versions:?}"));
    table.add_with_minimum(
        "mixed: instances that act on the last version",
        reached as f64,
        GATEKEEPERS as f64,
    );
    Ok(result.outcomes.values().sum())
}

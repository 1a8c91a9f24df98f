//! Plays a schedule on a site and judges what was seen.

use crate::builds::Builds;
use crate::checks::{self, Violation};
use crate::history::{Observation, Outcome, Record, Recorder, now_us};
use crate::process::until;
use crate::schedule::Schedule;
use crate::site::{Site, common_files};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// All are given this to agree again; the bound is shorter.
const WAITS: Duration = Duration::from_secs(35);
/// All agree by then at the start.
const STARTS: Duration = Duration::from_secs(10);
/// Between two looks at whether all agree. Each asks every program with a request that counts: twelve programs that were asked
/// fifty times a second spent the whole quota of the lender that is to show whether there is room.
const ASKS: Duration = Duration::from_millis(200);
/// Between two looks at what programs hold.
const LOOK: Duration = Duration::from_millis(500);

/// What came of a schedule.
#[derive(Debug)]
pub struct Played {
    /// What was broken.
    pub violations: Vec<Violation>,
    /// Faults by kind, those that were played.
    pub faults: BTreeMap<String, u64>,
    /// Operations by their end.
    pub ends: BTreeMap<Outcome, u64>,
    /// ms from the end of the last fault until all agreed.
    pub agreed: Option<u64>,
    /// Bytes that links carried, datagrams dropped, connections reset.
    pub carried: (u64, u64, u64),
    /// All that was seen.
    pub history: Vec<Record>,
}

/// Starts a site in this folder, plays the schedule on it, ends it, and checks.
///
/// # Errors
///
/// The site could not be started, or a program did not come back.
pub fn play(schedule: &Schedule, builds: impl Into<Builds>, folder: &Path) -> Result<Played, String> {
    common_files(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let site = Site::start(schedule, builds, folder)?;
    if !until(STARTS, ASKS, || site.apart().is_empty()) {
        let apart = format!("at the start, before any fault: {}", site.apart());
        site.recorder.record(Observation::Converged { after_ms: None, divergence: apart });
        return Ok(judged(&site, Vec::new(), None));
    }
    let over = Arc::new(AtomicBool::new(false));
    let load = site.load(&over);
    let (looks, looked) = (site.clone(), over.clone());
    let looker = thread::spawn(move || {
        while !looked.load(Ordering::Relaxed) {
            looks.look();
            thread::sleep(LOOK);
        }
    });
    let begun = Instant::now();
    let at = |ms: u64| {
        let left = Duration::from_millis(ms).saturating_sub(begun.elapsed());
        thread::sleep(left);
    };
    let last_end = AtomicU64::new(now_us());
    let failed: Vec<String> = thread::scope(|scope| {
        let (site, at, last_end) = (&site, &at, &last_end);
        let plays: Vec<_> = schedule
            .faults
            .iter()
            .enumerate()
            .map(|(number, fault)| {
                scope.spawn(move || {
                    at(fault.start_ms);
                    let done = site.play(number, &fault.kind, &|| at(fault.start_ms + fault.duration_ms));
                    last_end.fetch_max(now_us(), Ordering::Relaxed);
                    done
                })
            })
            .collect();
        let joined = plays.into_iter().map(|p| p.join().unwrap_or_else(|_| Err("a fault panicked".into())));
        joined.filter_map(Result::err).collect()
    });
    let apart = RefCell::new(String::new());
    let agree = || {
        let text = site.apart();
        let fine = text.is_empty();
        if apart.replace(text.clone()) != text && !fine {
            site.recorder.record(Observation::DivergenceChanged { divergence: text });
        }
        fine
    };
    let agreed = until(WAITS, ASKS, agree).then(|| (now_us() - last_end.load(Ordering::Relaxed)) / 1_000);
    site.recorder.record(Observation::Converged { after_ms: agreed, divergence: apart.into_inner() });
    at(schedule.length_ms);
    over.store(true, Ordering::Relaxed);
    load.into_iter().for_each(|client| drop(client.join()));
    drop(looker.join());
    Ok(judged(&site, failed, agreed))
}

/// Ends the site and checks what was seen.
fn judged(site: &Site, failed: Vec<String>, agreed: Option<u64>) -> Played {
    site.end();
    let carried = site.network.counts();
    let history = settled(&site.recorder);
    let mut violations = checks::check(&history, &Site::bounds());
    violations.extend(failed.into_iter().map(|text| Violation { rule: "a program comes back", text }));
    let mut faults = BTreeMap::new();
    for record in &history {
        if let Observation::Fault { kind, begins: true, .. } = &record.observation {
            *faults.entry(kind.clone()).or_default() += 1;
        }
    }
    Played { violations, faults, ends: checks::operations(&history), agreed, carried, history }
}

/// The history, once the last ends of programs are in it.
fn settled(recorder: &Recorder) -> Vec<Record> {
    let open = || {
        let count = |exited: bool| {
            let fits = |r: &&Record| match r.observation {
                Observation::ProcessExited { .. } => exited,
                Observation::ProcessStarted { .. } => !exited,
                _ => false,
            };
            recorder.records_by_time().iter().filter(fits).count()
        };
        count(true) == count(false)
    };
    until(Duration::from_secs(2), Duration::from_millis(20), open);
    recorder.records_by_time()
}

/// Leaves faults out one at a time for as long as what is left still fails, and brings the smallest that does.
///
/// # Errors
///
/// As [`play`].
pub fn shrunk(
    schedule: &Schedule,
    mut fails: impl FnMut(&Schedule) -> Result<bool, String>,
) -> Result<Schedule, String> {
    let mut smallest = schedule.clone();
    let mut at = 0;
    while at < smallest.faults.len() {
        let less = smallest.without_fault(at);
        if fails(&less)? {
            smallest = less;
        } else {
            at += 1;
        }
    }
    Ok(smallest)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::schedule::FaultKind;

    #[test]
    fn a_failing_schedule_is_made_as_small_as_what_fails() {
        let drawn = (0..).map(|seed| Schedule::from_seed(seed, 10_000));
        let is_kill = |s: &Schedule| s.faults.iter().any(|f| matches!(f.kind, FaultKind::Killed { .. }));
        let schedule = drawn.into_iter().find(|s| s.faults.len() > 3 && is_kill(s)).expect("there is one");
        let small = shrunk(&schedule, |s| Ok(is_kill(s))).expect("nothing fails in it");
        assert_eq!(small.faults.len(), 1);
        assert!(is_kill(&small));
    }
}

//! What probes of destinations amount to, without I/O.
//!
//! Each destination is probed by one instance in each round; the result becomes a [`Report`] that all instances hear.
//! A report holds the counts that the thresholds need, so whoever probes next goes on where the last one stopped.
//! [`Verdicts`] keeps the newest report of each destination and says which of them are to get no new work.
//!
//! Invariants:
//!
//! - A report of an older round never replaces one of a newer round.
//! - Of the destinations in use no more than the stated share is out by probes: the prober may be what is broken. Those
//!   that have failed for longest stay out, so the choice is the same at all instances that have heard the same.
//! - A destination without a report for three periods counts by its traffic alone.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Periods without a report after which a verdict no longer holds.
pub const STALE_PERIODS: u64 = 3;

/// How results become verdicts.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Milliseconds between two probes of a destination.
    pub period: u64,
    /// Failures in a row that take a destination out.
    pub down_after: u32,
    /// Successes in a row that bring it back.
    pub up_after: u32,
    /// The largest share of the fleet that may be out at once, from 0 to 1.
    pub most_out: f64,
}

/// What is known of a destination after a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The round, in Unix milliseconds of its start.
    pub round: u64,
    /// Whether it counts as failing.
    pub down: bool,
    /// Results in a row that speak against that.
    pub against: u32,
    /// The round in which it last became failing or well.
    pub since: u64,
}

impl Report {
    /// The report after one more result.
    pub fn after(before: Option<&Self>, round: u64, passed: bool, config: &Config) -> Self {
        // One that nobody has probed yet counts as well, since its traffic may.
        let before = before.copied().unwrap_or(Self { round: 0, down: false, against: 0, since: round });
        let speaks_against = passed == before.down;
        let against = if speaks_against { before.against.saturating_add(1) } else { 0 };
        let needed = if before.down { config.up_after } else { config.down_after };
        if against >= needed.max(1) {
            Self { round, down: !before.down, against: 0, since: round }
        } else {
            Self { round, against, ..before }
        }
    }

    /// As bytes that other instances can read.
    pub fn put(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads it.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// What a destination's probes say of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// No report that still holds: it counts by its traffic alone.
    Unknown,
    /// It answers as it should.
    Well,
    /// It fails, and gets no new work.
    Out,
    /// It fails, but too many are out already: it counts by its traffic alone.
    Spared,
}

/// The newest report of each destination.
#[derive(Debug)]
pub struct Verdicts {
    config: Config,
    reports: BTreeMap<String, Option<Heard>>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    report: Report,
    /// When it was heard, in milliseconds on the clock that is never set.
    at: u64,
}

impl Verdicts {
    /// Nothing known of anybody.
    pub fn new(config: Config) -> Self {
        Self { config, reports: BTreeMap::new() }
    }

    /// The rules.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Takes the fleet as it is now; what is known of those that stay is kept.
    pub fn set_fleet(&mut self, ids: impl IntoIterator<Item = String>) {
        let mut before = std::mem::take(&mut self.reports);
        self.reports = ids.into_iter().map(|id| (id.clone(), before.remove(&id).flatten())).collect();
    }

    /// The ids of the fleet.
    pub fn fleet(&self) -> impl Iterator<Item = &str> {
        self.reports.keys().map(String::as_str)
    }

    /// Takes in the result of a probe made here; brings the report to be spread. `None` for a destination that is not in
    /// the fleet, or a round that is not newer than what is known.
    pub fn probed(&mut self, id: &str, round: u64, passed: bool, now: u64) -> Option<Report> {
        let before = self.reports.get(id)?.map(|heard| heard.report);
        if before.is_some_and(|b| b.round >= round) {
            return None;
        }
        let report = Report::after(before.as_ref(), round, passed, &self.config);
        self.heard(id, report, now).then_some(report)
    }

    /// Takes in a report; tells whether it was newer than what was known.
    pub fn heard(&mut self, id: &str, report: Report, now: u64) -> bool {
        let Some(place) = self.reports.get_mut(id) else { return false };
        if place.is_some_and(|known| known.report.round >= report.round) {
            return false;
        }
        *place = Some(Heard { report, at: now });
        true
    }

    /// How each stands at a time, with the age of its report in milliseconds.
    pub fn standings(&self, now: u64) -> BTreeMap<&str, (Standing, Option<u64>)> {
        let holds = |heard: &Heard| now.saturating_sub(heard.at) <= STALE_PERIODS * self.config.period;
        let mut failing: Vec<(u64, &str)> = self
            .reports
            .iter()
            .filter_map(|(id, heard)| {
                heard.filter(|h| h.report.down && holds(h)).map(|h| (h.report.since, id.as_str()))
            })
            .collect();
        failing.sort_unstable();
        // Rounded down: of three, a share of 0.5 may take out one.
        let most = (self.reports.len() as f64 * self.config.most_out) as usize;
        let out = &failing[..most.min(failing.len())];
        let standing = |id: &str, heard: &Option<Heard>| match heard {
            Some(heard) if !holds(heard) => Standing::Unknown,
            Some(heard) if !heard.report.down => Standing::Well,
            Some(_) if out.iter().any(|(_, o)| *o == id) => Standing::Out,
            Some(_) => Standing::Spared,
            None => Standing::Unknown,
        };
        let age = |heard: &Option<Heard>| heard.map(|h| now.saturating_sub(h.at));
        self.reports.iter().map(|(id, h)| (id.as_str(), (standing(id, h), age(h)))).collect()
    }

    /// The ids that get no new work at a time.
    pub fn out(&self, now: u64) -> Vec<String> {
        let standings = self.standings(now);
        standings.iter().filter(|(_, (s, _))| *s == Standing::Out).map(|(id, _)| (*id).to_owned()).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn config() -> Config {
        Config { period: 1_000, down_after: 3, up_after: 2, most_out: 0.5 }
    }

    fn fleet(count: usize) -> Verdicts {
        let mut verdicts = Verdicts::new(config());
        verdicts.set_fleet((0..count).map(|i| format!("d{i}")));
        verdicts
    }

    fn standing(verdicts: &Verdicts, id: &str, now: u64) -> Standing {
        verdicts.standings(now)[id].0
    }

    #[test]
    fn thresholds_count_results_in_a_row_over_a_change_of_prober() {
        let (mut one, mut other) = (fleet(4), fleet(4));
        let results = [false, false, true, false, false, false, true, false, true, true];
        let mut downs = Vec::new();
        for (i, passed) in results.into_iter().enumerate() {
            let now = i as u64 * 1_000;
            // They take turns, and each hears what the other found.
            let (prober, hearer) = if i % 2 == 0 { (&mut one, &mut other) } else { (&mut other, &mut one) };
            let report = prober.probed("d0", now + 1, passed, now).expect("a newer round");
            assert!(hearer.heard("d0", Report::read(&report.put()).expect("a report"), now));
            downs.push(report.down);
        }
        assert_eq!(downs, [false, false, false, false, false, true, true, true, true, false]);
    }

    #[test]
    fn an_old_report_never_overtakes_a_newer_one() {
        let mut verdicts = fleet(4);
        let report = |round, down| Report { round, down, against: 0, since: round };
        assert!(verdicts.heard("d0", report(5, true), 0));
        assert!(!verdicts.heard("d0", report(4, false), 0));
        assert!(!verdicts.heard("d0", report(5, false), 0));
        assert_eq!(verdicts.probed("d0", 5, true, 0), None);
        assert_eq!(standing(&verdicts, "d0", 0), Standing::Out);
        assert!(!verdicts.heard("elsewhere", report(9, true), 0));
    }

    #[test]
    fn no_more_than_the_share_is_out_and_the_longest_failing_stay_out() {
        let mut verdicts = fleet(5);
        for i in 0..5 {
            verdicts.heard(&format!("d{i}"), Report { round: 50, down: true, against: 0, since: 40 - i }, 0);
        }
        assert_eq!(verdicts.out(0), ["d3", "d4"]);
        assert_eq!(standing(&verdicts, "d0", 0), Standing::Spared);
        // One of those comes back: the next in order goes out in its place.
        verdicts.heard("d4", Report { round: 51, down: false, against: 0, since: 51 }, 0);
        assert_eq!(verdicts.out(0), ["d2", "d3"]);
    }

    #[test]
    fn without_news_for_three_periods_the_traffic_alone_counts() {
        let mut verdicts = fleet(4);
        verdicts.heard("d0", Report { round: 1, down: true, against: 0, since: 1 }, 10_000);
        assert_eq!(standing(&verdicts, "d0", 13_000), Standing::Out);
        assert_eq!(standing(&verdicts, "d0", 13_001), Standing::Unknown);
        assert_eq!(standing(&verdicts, "d1", 0), Standing::Unknown);
    }

    #[test]
    fn a_fleet_that_changes_keeps_what_is_known_of_those_that_stay() {
        let mut verdicts = fleet(4);
        verdicts.heard("d0", Report { round: 1, down: true, against: 0, since: 1 }, 0);
        verdicts.set_fleet(["d0", "d9"].map(String::from));
        assert_eq!(verdicts.out(0), ["d0"]);
        verdicts.set_fleet(["d9".to_owned()]);
        verdicts.set_fleet(["d0", "d9"].map(String::from));
        assert_eq!(standing(&verdicts, "d0", 0), Standing::Unknown, "it is a new one");
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(42), failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn whatever_is_heard_the_share_holds(
            reports in prop::collection::vec((0usize..12, 0u64..40, any::<bool>(), 0u64..40), 0..80),
            share in 0.0..1.0f64,
        ) {
            let mut verdicts = Verdicts::new(Config { most_out: share, ..config() });
            verdicts.set_fleet((0..10).map(|i| format!("d{i}")));
            let mut rounds = BTreeMap::new();
            for (i, round, down, since) in reports {
                let id = format!("d{i}");
                let newest = rounds.get(&i).is_none_or(|&r| round > r);
                let taken = verdicts.heard(&id, Report { round, down, against: 0, since }, 0);
                prop_assert_eq!(taken, newest && i < 10);
                if taken {
                    rounds.insert(i, round);
                }
                prop_assert!(verdicts.out(0).len() as f64 <= 10.0 * share);
            }
        }

        #[test]
        fn garbage_is_no_report_or_one_that_does_no_harm(bytes in prop::collection::vec(any::<u8>(), 0..64)) {
            if let Some(report) = Report::read(&bytes) {
                let next = Report::after(Some(&report), u64::MAX, true, &config());
                prop_assert_eq!(next.round, u64::MAX);
            }
        }
    }
}

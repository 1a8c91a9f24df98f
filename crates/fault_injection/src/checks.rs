//! The rules, as pure functions over a history. What excuses what is in docs/design/faults.md.

use crate::history::{Observation, Outcome, Record};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, HashSet};

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub rule: &'static str,
    /// What was seen.
    pub text: String,
}

/// The figures that the rules go by.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// ms; an operation has its final answer by then ...
    pub deadline: u64,
    /// ms; ... and this, for a machine that does other things beside it.
    pub late: u64,
    /// Hard ceilings by lender: units a second, units at once, and the largest request.
    pub ceilings: BTreeMap<String, (f64, f64, f64)>,
    /// ms; nothing new reaches a loan server later than this after a program says that it takes no work.
    pub drain: u64,
    /// ms; all agree again by then after the last fault ...
    pub agree: u64,
    /// ... or by then, where the counter came back empty: quotas are exact again with its next name.
    pub agree_after_loss: u64,
    /// ms; two act on versions that contradict each other for no longer than this.
    pub apart: u64,
    /// What a program may hold: kB, descriptors, threads.
    pub holds: (u64, u64, u64),
}

/// All that is broken in a history.
pub fn check(history: &[Record], bounds: &Bounds) -> Vec<Violation> {
    let all = [answers, ceilings, drained, rounds, exits, holds, agreed, versions];
    all.iter().flat_map(|rule| rule(history, bounds)).collect()
}

fn violation(rule: &'static str, text: String) -> Violation {
    Violation { rule, text }
}

/// A fault from its begin to its end.
struct Span<'a> {
    span: (u64, u64),
    kind: &'a str,
    /// Whose clients may miss an answer.
    hits: &'a [String],
    /// Sends may arrive late.
    late: bool,
}

fn faults(history: &[Record]) -> Vec<Span<'_>> {
    let mut open = HashMap::new();
    let mut all = Vec::new();
    for record in history {
        let Observation::Fault { index: number, kind, begins, affected: hits, delays_attempts: late } =
            &record.observation
        else {
            continue;
        };
        if *begins {
            open.insert(*number, Span { span: (record.at_us, u64::MAX), kind, hits, late: *late });
        } else if let Some(fault) = open.remove(number) {
            all.push(Span { span: (fault.span.0, record.at_us), ..fault });
        }
    }
    all.extend(open.into_values());
    all
}

/// When each program's clients may miss an answer, as spans of time.
fn hits(history: &[Record]) -> HashMap<&str, Vec<(u64, u64)>> {
    let mut spans: HashMap<&str, Vec<(u64, u64)>> = HashMap::new();
    for fault in faults(history) {
        fault.hits.iter().for_each(|who| spans.entry(who).or_default().push(fault.span));
    }
    spans
}

/// When what programs send may arrive late, as spans of time.
fn late_spans(history: &[Record]) -> Vec<(u64, u64)> {
    faults(history).into_iter().filter(|f| f.late).map(|f| f.span).collect()
}

/// Each operation that a program took has one final answer, its own, and in time.
pub fn answers(history: &[Record], bounds: &Bounds) -> Vec<Violation> {
    const RULE: &str = "one final answer in time";
    let hits = hits(history);
    let longest = (bounds.deadline + bounds.late) * 1_000;
    let mut open: BTreeMap<u64, (u64, &str)> = BTreeMap::new();
    let mut found = Vec::new();
    // What was asked through a program while a fault hit it, or came up within the operation's time.
    let excused = |asked: u64, until: u64, via: &str| {
        hits.get(via).is_some_and(|spans| spans.iter().any(|&(from, to)| from <= until && to >= asked))
    };
    for record in history {
        match &record.observation {
            Observation::RequestSent { request_id: op, gatekeeper: via, .. }
                if open.insert(*op, (record.at_us, via)).is_some() =>
            {
                found.push(violation(RULE, format!("operation {op} was asked twice")));
            }
            Observation::RequestEnded { request_id: op, outcome: end } => {
                let Some((asked, via)) = open.remove(op) else {
                    if *end != Outcome::NotAccepted {
                        found.push(violation(RULE, format!("operation {op} has more than one end")));
                    }
                    continue;
                };
                let took = record.at_us - asked;
                match end {
                    Outcome::Foreign => {
                        found.push(violation(
                            RULE,
                            format!("operation {op} got the answer of another, by {via}"),
                        ));
                    }
                    Outcome::Unanswered if !excused(asked, record.at_us, via) => found.push(violation(
                        RULE,
                        format!("operation {op} has no answer from {via} after {} ms", took / 1_000),
                    )),
                    Outcome::Served | Outcome::Rejected | Outcome::Failed
                        if took > longest && !excused(asked, record.at_us, via) =>
                    {
                        found.push(violation(
                            RULE,
                            format!("operation {op} was answered by {via} after {} ms", took / 1_000),
                        ));
                    }
                    _ => {}
                }
            }
            _ => {}
        }
    }
    let last = history.last().map_or(0, |r| r.at_us);
    for (op, (asked, via)) in open {
        if last - asked > longest && !excused(asked, last, via) {
            found.push(violation(RULE, format!("operation {op} through {via} never ended for its client")));
        }
    }
    found
}

/// No lender passes its hard ceiling, counted where first attempts arrive, by more than the slack.
pub fn ceilings(history: &[Record], bounds: &Bounds) -> Vec<Violation> {
    let mut asked: HashMap<u64, (&str, f64)> = HashMap::new();
    // By lender: what the store holds, and since when.
    let mut stores: HashMap<&str, (f64, u64)> = HashMap::new();
    let mut worst: BTreeMap<&str, (f64, u64)> = BTreeMap::new();
    for record in history {
        match &record.observation {
            Observation::RequestSent { request_id: op, tenant: lender, units, .. } => {
                asked.insert(*op, (lender, *units));
            }
            Observation::AttemptArrived { request_id: op, .. } => {
                // Only the first attempt counts.
                let Some((lender, units)) = asked.remove(op) else { continue };
                let Some(&(rate, burst, _)) = bounds.ceilings.get(lender) else { continue };
                let (level, at) = stores.entry(lender).or_insert((burst, record.at_us));
                *level = (*level + rate * (record.at_us - *at) as f64 / 1e6).min(burst) - units;
                *at = record.at_us;
                let low = worst.entry(lender).or_insert((f64::MAX, 0));
                if *level < low.0 {
                    *low = (*level, record.at_us);
                }
            }
            _ => {}
        }
    }
    let begun = history.first().map_or(0, |r| r.at_us);
    // What is on its way to a loan server is seen late by so much; by a spoilt link for as long as its sender waits.
    let spoilt =
        history.iter().any(|r| matches!(r.observation, Observation::Fault { delays_attempts: true, .. }));
    let late = bounds.late + if spoilt { bounds.deadline } else { 0 };
    let past = |(lender, (level, at)): (&str, (f64, u64))| {
        let &(rate, burst, largest) = bounds.ceilings.get(lender)?;
        let slack = (0.1 * burst).max(largest) + rate * late as f64 / 1_000.0;
        let text = || {
            let ms = (at - begun) / 1_000;
            format!("{lender} is {:.1} units past its ceiling at {ms} ms, {slack:.1} allowed", -level)
        };
        (-level > slack).then(|| violation("hard ceiling", text()))
    };
    worst.into_iter().filter_map(past).collect()
}

/// Nothing new reaches a loan server later than the bound after a program's own log says that it takes no work, or after it
/// was told so. What a program was told while a fault hits it may be read later.
pub fn drained(history: &[Record], bounds: &Bounds) -> Vec<Violation> {
    let hits = hits(history);
    let spoilt = late_spans(history);
    let mut out: HashMap<(&str, String), u64> = HashMap::new();
    let mut found = Vec::new();
    for record in history {
        match &record.observation {
            Observation::LogLine { process: who, fields, .. } => {
                let told = (fields.get("server"), fields.get("takes_work"));
                let (Some(Value::String(server)), Some(Value::Bool(takes_work))) = told else { continue };
                // Ids are told with their node.
                let server = server.rsplit('/').next().unwrap_or(server).to_owned();
                if *takes_work {
                    out.remove(&(who.as_str(), server));
                } else {
                    out.insert((who, server), record.at_us);
                }
            }
            Observation::EndpointNotified { gatekeeper: who, backend: server, accepts_requests: true } => {
                out.remove(&(who.as_str(), server.clone()));
            }
            Observation::EndpointNotified { gatekeeper: who, backend: server, accepts_requests: false } => {
                out.entry((who, server.clone())).or_insert(record.at_us);
            }
            Observation::ProcessStarted { process: who } => out.retain(|(by, _), _| by != who),
            Observation::AttemptArrived { request_id: op, backend: server, gatekeeper: via } => {
                let since = out.get(&(via.as_str(), server.clone()));
                let late = since.map_or(0, |since| (record.at_us - since) / 1_000);
                // A fault excuses what comes while it lasts, and for as long after its end as it would be allowed anyway.
                let after = (bounds.drain + bounds.late + bounds.deadline) * 1_000;
                let within = |&(from, to): &(u64, u64)| {
                    from <= record.at_us && record.at_us <= to.saturating_add(after)
                };
                let excused = |since: u64| {
                    let hit = hits.get(via.as_str()).into_iter().flatten();
                    hit.chain(&spoilt).any(|span| span.1 >= since && within(span))
                };
                if late > bounds.drain + bounds.late && !since.is_some_and(|&since| excused(since)) {
                    found.push(violation(
                        "nothing new to who takes no work",
                        format!("operation {op} reached {server} from {via} {late} ms after it said so"),
                    ));
                }
            }
            _ => {}
        }
    }
    found
}

/// No round of a duty runs twice.
pub fn rounds(history: &[Record], _: &Bounds) -> Vec<Violation> {
    let mut ran: HashMap<(&str, u64), &str> = HashMap::new();
    let mut found = Vec::new();
    for record in history {
        let Observation::JobRan { job: duty, run: round, instance: by } = &record.observation else {
            continue;
        };
        if let Some(before) = ran.insert((duty, *round), by) {
            let text = format!("round {round} of {duty} was run by {before} and by {by}");
            found.push(violation("no round twice", text));
        }
    }
    found
}

/// No program ends but when it is told to, and one that is told to end in order ends with 0.
pub fn exits(history: &[Record], _: &Bounds) -> Vec<Violation> {
    let wrong = |record: &Record| match &record.observation {
        Observation::ProcessExited { process: who, exit_code: code, requested: told }
            if !told || (*code != 0 && *code != -9) =>
        {
            let lines: Vec<&str> = history
                .iter()
                .filter_map(|r| match &r.observation {
                    Observation::LogLine { process: by, text, .. } if by == who => Some(text.as_str()),
                    _ => None,
                })
                .collect();
            let last = lines.last().copied().unwrap_or_default();
            Some(violation("no exit unasked", format!("{who} ended with {code}; its last line: {last}")))
        }
        _ => None,
    };
    history.iter().filter_map(wrong).collect()
}

/// Memory, descriptors and threads stay bounded.
pub fn holds(history: &[Record], bounds: &Bounds) -> Vec<Violation> {
    let mut told = HashSet::new();
    let mut found = Vec::new();
    for record in history {
        let Observation::ResourceUse { process: who, memory_kb: kb, descriptors: files, threads, .. } =
            &record.observation
        else {
            continue;
        };
        let (most_kb, most_files, most_threads) = bounds.holds;
        if (*kb > most_kb || *files > most_files || *threads > most_threads) && told.insert(who) {
            let text = format!("{who} holds {kb} kB, {files} descriptors and {threads} threads");
            found.push(violation("bounded memory, descriptors and threads", text));
        }
    }
    found
}

/// All agree again in time after the last fault.
pub fn agreed(history: &[Record], bounds: &Bounds) -> Vec<Violation> {
    let lost = history
        .iter()
        .any(|r| matches!(&r.observation, Observation::Fault { kind, .. } if kind == "counter empty"));
    let most = if lost { bounds.agree_after_loss } else { bounds.agree };
    let late = |record: &Record| match &record.observation {
        Observation::Converged { after_ms: after, divergence: apart } if after.is_none_or(|ms| ms > most) => {
            let after = after.map_or("never".into(), |ms| format!("after {ms} ms"));
            Some(violation("all agree again", format!("{after}, {most} ms allowed; apart: {apart}")))
        }
        _ => None,
    };
    let mut found: Vec<Violation> = history.iter().filter_map(late).collect();
    if !history.iter().any(|r| matches!(r.observation, Observation::Converged { .. })) {
        found.push(violation("all agree again", "nobody has looked".into()));
    }
    found
}

/// What a program acts on: the version in force, and the one proposed where there is one.
type Acts = (u64, u64);

/// How long two programs acted on versions that contradict each other, at the longest in one stretch; and which.
///
/// A program's own lines tell when it began to act on what, with its own clock's time; one that is stopped acts on nothing.
pub fn contradiction(history: &[Record]) -> (u64, String) {
    let still: Vec<Span<'_>> = faults(history).into_iter().filter(|f| f.kind == "stopped").collect();
    let stands = |who: &str, at: u64| {
        still.iter().any(|f| f.hits.iter().any(|h| h == who) && f.span.0 <= at && at < f.span.1)
    };
    let mut acts: BTreeMap<&str, Acts> = BTreeMap::new();
    let (mut since, mut longest) = (None::<(u64, String)>, (0, String::new()));
    for record in history {
        match &record.observation {
            Observation::LogLine { process: who, fields, .. } => {
                let number = |name: &str| fields.get(name).and_then(Value::as_u64);
                let (Some(version), Some(proposed), Some(leased)) =
                    (number("version"), number("proposed"), fields.get("leased").and_then(Value::as_bool))
                else {
                    continue;
                };
                if leased {
                    acts.insert(who, (version, if proposed > 0 { proposed } else { version }));
                } else {
                    acts.remove(who.as_str());
                }
            }
            Observation::ProcessExited { process: who, .. }
            | Observation::ProcessStarted { process: who } => drop(acts.remove(who.as_str())),
            Observation::Fault { .. } => {}
            _ => continue,
        }
        let now: Vec<(&&str, &Acts)> = acts.iter().filter(|(who, _)| !stands(who, record.at_us)).collect();
        let behind = now.iter().min_by_key(|(_, a)| a.1);
        let ahead = now.iter().max_by_key(|(_, a)| a.0);
        let apart = behind.zip(ahead).filter(|(b, a)| a.1.0 > b.1.1);
        match apart {
            Some((b, a)) if since.is_none() => {
                since = Some((record.at_us, format!("{} by {:?}, {} by {:?}", b.0, b.1, a.0, a.1)));
            }
            Some(_) => {}
            None => {
                if let Some((from, text)) = since.take()
                    && record.at_us - from > longest.0
                {
                    longest = (record.at_us - from, text);
                }
            }
        }
    }
    if let (Some((from, text)), Some(last)) = (since, history.last())
        && last.at_us - from > longest.0
    {
        longest = (last.at_us - from, text);
    }
    (longest.0 / 1_000, longest.1)
}

/// No two programs act for longer than this on versions that contradict each other.
pub fn versions(history: &[Record], bounds: &Bounds) -> Vec<Violation> {
    let (ms, who) = contradiction(history);
    let text = || format!("{ms} ms, {} allowed: {who}", bounds.apart);
    if ms > bounds.apart { vec![violation("no two contradict each other", text())] } else { Vec::new() }
}

/// Operations by their end: for a table, no rule.
pub fn operations(history: &[Record]) -> BTreeMap<Outcome, u64> {
    let mut ends = BTreeMap::new();
    for record in history {
        if let Observation::RequestEnded { outcome: end, .. } = &record.observation {
            *ends.entry(*end).or_default() += 1;
        }
    }
    ends
}

#[cfg(test)]
mod tests {
    use super::*;

    fn bounds() -> Bounds {
        Bounds {
            deadline: 1_000,
            late: 400,
            ceilings: [("greedy".to_owned(), (20.0, 40.0, 4.0))].into(),
            drain: 1_000,
            agree: 5_000,
            agree_after_loss: 5_000,
            apart: 3_000,
            holds: (50_000, 500, 40),
        }
    }

    /// A history from times in ms.
    fn history(list: &[(u64, Observation)]) -> Vec<Record> {
        list.iter().map(|(ms, what)| Record { at_us: ms * 1_000, observation: what.clone() }).collect()
    }

    fn asked(op: u64, via: &str) -> Observation {
        Observation::RequestSent {
            request_id: op,
            tenant: "greedy".into(),
            units: 1.0,
            gatekeeper: via.into(),
        }
    }

    fn ended(op: u64, end: Outcome) -> Observation {
        Observation::RequestEnded { request_id: op, outcome: end }
    }

    fn fault(begins: bool, hits: &[&str]) -> Observation {
        let hits = hits.iter().map(|h| (*h).to_owned()).collect();
        Observation::Fault { index: 0, kind: "killed".into(), begins, affected: hits, delays_attempts: false }
    }

    /// What m0 logs of l0.
    fn says(takes_work: bool) -> Observation {
        let fields = [("server", Value::from("a/l0")), ("takes_work", Value::from(takes_work))];
        let fields = fields.map(|(name, value)| (name.to_owned(), value)).into_iter().collect();
        Observation::LogLine { process: "m0".into(), text: String::new(), fields }
    }

    fn arrived(op: u64) -> Observation {
        Observation::AttemptArrived { request_id: op, backend: "l0".into(), gatekeeper: "m0".into() }
    }

    #[test]
    fn a_good_history_breaks_nothing() {
        let good = history(&[
            (0, Observation::ProcessStarted { process: "m0".into() }),
            (1, asked(1, "m0")),
            (2, arrived(1)),
            (3, ended(1, Outcome::Served)),
            (4, fault(true, &["m0"])),
            (5, asked(2, "m0")),
            (6, ended(2, Outcome::Unanswered)),
            (7, fault(false, &["m0"])),
            (8, says(false)),
            (900, arrived(3)),
            (901, says(true)),
            (9_000, arrived(4)),
            (9_001, Observation::JobRan { job: "d".into(), run: 1, instance: "m0".into() }),
            (9_002, Observation::JobRan { job: "d".into(), run: 2, instance: "m1".into() }),
            (
                9_003,
                Observation::ResourceUse {
                    process: "m0".into(),
                    memory_kb: 9_000,
                    descriptors: 40,
                    threads: 20,
                    cpu_ms: 0,
                },
            ),
            (9_004, Observation::ProcessExited { process: "m0".into(), exit_code: -9, requested: true }),
            (9_005, Observation::Converged { after_ms: Some(700), divergence: String::new() }),
        ]);
        assert_eq!(check(&good, &bounds()), []);
        let mut text = Vec::new();
        crate::history::write(&good, &mut text).expect("it is written");
        let read = crate::history::read(&String::from_utf8_lossy(&text)).expect("it is read");
        assert_eq!(read, good);
    }

    /// For each rule a history that breaks it, and only it.
    #[test]
    fn each_checker_finds_what_it_is_for() {
        let agreed = (20_000, Observation::Converged { after_ms: Some(1), divergence: String::new() });
        let ran = |by: &str| Observation::JobRan { job: "d".into(), run: 7, instance: by.into() };
        let crowd: Vec<(u64, Observation)> =
            (0..60).flat_map(|op| [(op, asked(op, "m0")), (op, arrived(op))]).collect();
        let cases: Vec<(&str, Vec<(u64, Observation)>)> = vec![
            ("one final answer in time", vec![(1, asked(1, "m0")), (9, ended(1, Outcome::Unanswered))]),
            ("one final answer in time", vec![(1, asked(1, "m0")), (1_900, ended(1, Outcome::Served))]),
            ("one final answer in time", vec![(1, asked(1, "m0")), (9, ended(1, Outcome::Foreign))]),
            ("one final answer in time", vec![(1, asked(1, "m0"))]),
            (
                "one final answer in time",
                vec![(1, asked(1, "m0")), (2, ended(1, Outcome::Served)), (3, ended(1, Outcome::Served))],
            ),
            (
                // The fault hit another one.
                "one final answer in time",
                vec![(0, fault(true, &["m1"])), (1, asked(1, "m0")), (9, ended(1, Outcome::Unanswered))],
            ),
            ("hard ceiling", crowd),
            ("nothing new to who takes no work", vec![(1, says(false)), (1_500, arrived(9))]),
            ("no round twice", vec![(1, ran("m0")), (2, ran("m1"))]),
            (
                "no exit unasked",
                vec![(
                    1,
                    Observation::ProcessExited { process: "m0".into(), exit_code: 0, requested: false },
                )],
            ),
            (
                "no exit unasked",
                vec![(
                    1,
                    Observation::ProcessExited { process: "m0".into(), exit_code: 101, requested: true },
                )],
            ),
            (
                "bounded memory, descriptors and threads",
                vec![(
                    1,
                    Observation::ResourceUse {
                        process: "m0".into(),
                        memory_kb: 9_000,
                        descriptors: 900,
                        threads: 20,
                        cpu_ms: 0,
                    },
                )],
            ),
            (
                "all agree again",
                vec![(1, Observation::Converged { after_ms: None, divergence: "m1 sees 2".into() })],
            ),
        ];
        for (rule, list) in cases {
            let ends: Vec<(u64, Observation)> = match rule {
                // What this rule is not about has its end.
                "hard ceiling" => (0..60).map(|op| (100, ended(op, Outcome::Served))).collect(),
                _ => Vec::new(),
            };
            let found =
                check(&history(&[&list[..], &ends, std::slice::from_ref(&agreed)].concat()), &bounds());
            assert!(!found.is_empty() && found.iter().all(|v| v.rule == rule), "{rule}: {found:?}");
        }
    }

    #[test]
    fn a_ceiling_counts_first_attempts_and_fills_with_time() {
        // 40 at once and 20 a second: four a tick of 200 ms, each with a second attempt.
        let mut list = Vec::new();
        for op in 0..200 {
            let at = op / 4 * 200;
            list.extend([(at, asked(op, "m0")), (at, arrived(op)), (at, arrived(op))]);
        }
        assert_eq!(ceilings(&history(&list), &bounds()), []);
    }

    fn acts(who: &str, version: u64, proposed: u64, leased: bool) -> Observation {
        let fields =
            [("version", version.into()), ("proposed", proposed.into()), ("leased", Value::from(leased))];
        let fields = fields.map(|(name, value)| (name.to_owned(), value)).into_iter().collect();
        Observation::LogLine { process: who.into(), text: String::new(), fields }
    }

    #[test]
    fn versions_contradict_each_other_from_when_to_when() {
        let fine = history(&[
            (0, acts("a", 1, 0, true)),
            (0, acts("b", 1, 0, true)),
            (100, acts("a", 1, 2, true)),
            (200, acts("b", 1, 2, true)),
            (300, acts("a", 2, 0, true)),
            // Apart: it acts on no version.
            (400, acts("b", 1, 2, false)),
            (500, acts("a", 2, 3, true)),
            (600, acts("a", 3, 0, true)),
            (700, acts("b", 3, 0, true)),
        ]);
        assert_eq!(contradiction(&fine).0, 0);
        let bad = history(&[
            (0, acts("a", 1, 0, true)),
            (0, acts("b", 1, 0, true)),
            (100, acts("a", 2, 0, true)),
            (5_100, acts("b", 2, 0, true)),
        ]);
        assert_eq!(contradiction(&bad).0, 5_000);
        assert_eq!(versions(&bad, &bounds()).len(), 1);
        // One that stands still acts on nothing.
        let stopped = |begins| Observation::Fault {
            index: 0,
            kind: "stopped".into(),
            begins,
            affected: vec!["b".into()],
            delays_attempts: false,
        };
        let still = history(&[
            (0, acts("a", 1, 0, true)),
            (0, acts("b", 1, 0, true)),
            (50, stopped(true)),
            (100, acts("a", 2, 0, true)),
            (5_000, stopped(false)),
            (5_020, acts("b", 1, 0, false)),
        ]);
        assert_eq!(contradiction(&still).0, 20);
    }
}

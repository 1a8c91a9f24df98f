//! Figures of a small history.

use super::*;

fn record(at_us: u64, observation: Observation) -> Record {
    Record { at_us, observation }
}

fn sent(at_us: u64, request_id: u64) -> Record {
    let (tenant, gatekeeper) = ("free".into(), "m0".into());
    record(at_us, Observation::RequestSent { request_id, tenant, units: 1.0, gatekeeper })
}

fn ended(at_us: u64, request_id: u64, outcome: Outcome) -> Record {
    record(at_us, Observation::RequestEnded { request_id, outcome })
}

fn arrived(at_us: u64, request_id: u64, backend: &str) -> Record {
    let (backend, gatekeeper) = (backend.into(), "m0".into());
    record(at_us, Observation::AttemptArrived { request_id, backend, gatekeeper })
}

#[test]
fn answers_arrivals_and_log_lines_are_counted_within_a_span() {
    let line = Observation::LogLine {
        process: "m0".into(),
        text: "endpoint not eligible".into(),
        fields: [("reason".to_owned(), "it is critical".into())].into_iter().collect(),
    };
    let history = [
        sent(100, 1),
        arrived(150, 1, "l0"),
        ended(200, 1, Outcome::Served),
        sent(210, 2),
        ended(220, 2, Outcome::NotAccepted),
        sent(230, 3),
        arrived(400_000, 3, "l0"),
        ended(500_000, 3, Outcome::Rejected),
        // One that was never sent is no answer.
        ended(500_001, 9, Outcome::Served),
        record(500_002, line),
        arrived(600_000, 4, "l1"),
    ];
    let requests = Requests::of(&history);
    let all = Span { from_us: 100, to_us: 700_000 };
    let served = requests.served(all);
    assert_eq!((served.share, served.answers), (0.5, 2));
    // The end of a span is not in it.
    assert_eq!(requests.served(Span { from_us: 200, to_us: 500_000 }).answers, 1);
    assert_eq!((requests.arrived("l0", all), requests.arrived("l1", all)), (2, 1));
    assert_eq!(requests.last_arrival_after("l0", all), 0.3999);
    assert_eq!(requests.last_arrival_after("l2", all), 0.0);
    assert_eq!(
        (requests.logged(all, "endpoint not eligible"), requests.logged(all, "endpoint eligible")),
        (1, 0)
    );
    assert_eq!(requests.logged_with_reason(all, "endpoint not eligible", "it is critical"), 1);
    assert_eq!(requests.logged_with_reason(all, "endpoint not eligible", "its weight is 0"), 0);
}

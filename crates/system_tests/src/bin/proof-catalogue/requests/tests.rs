//! Responses, arrivals and log events of a small history.

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
fn responses_arrivals_and_log_events_are_counted_within_a_span() {
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
        // The end of a request that was never sent does not count as a response.
        ended(500_001, 9, Outcome::Served),
        record(500_002, line),
        arrived(600_000, 4, "l1"),
    ];
    let requests = Requests::of(&history);
    let all = Span { from_us: 100, to_us: 700_000 };
    assert_eq!(requests.responses(all), ResponseCounts { all: 2, served: 1 });
    assert_eq!(requests.served_share(all), 0.5);
    // A span does not include its end.
    assert_eq!(requests.responses(Span { from_us: 200, to_us: 500_000 }).all, 1);
    assert_eq!((requests.first_served_after_us(199), requests.first_served_after_us(200)), (Some(200), None));
    assert_eq!((requests.arrival_count("l0", all), requests.arrival_count("l1", all)), (2, 1));
    assert_eq!(requests.last_arrival_after("l0", all), Duration::from_micros(399_900));
    assert_eq!(requests.last_arrival_after("l2", all), Duration::ZERO);
    assert_eq!(requests.log_event_count(all, "endpoint not eligible"), 1);
    assert_eq!(requests.log_event_count(all, "endpoint eligible"), 0);
    let with_reason = |reason| requests.log_event_count_with_reason(all, "endpoint not eligible", reason);
    assert_eq!((with_reason("it is critical"), with_reason("its weight is 0")), (1, 0));
}

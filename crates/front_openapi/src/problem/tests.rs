//! Guards the bytes of error responses, which later versions write exactly as version 0.1.0 did.

use super::*;

const PROBLEMS: &str = include_str!("../../tests/fixtures/problems.http");

/// One problem of each kind.
fn all_problems() -> Vec<Problem> {
    vec![
        Problem::from(HttpError::Malformed(http::MalformedMessage::HeaderName)),
        Problem::from(HttpError::HeadTooLarge),
        Problem::from(HttpError::BodyTooLarge),
        Problem::malformed("a \"quoted\\\" text\twith\u{1} controls and é"),
        Problem::method_not_allowed("GET, POST"),
        Problem::new(404, "Not Found", "no route has this path"),
        Problem::new(403, "Forbidden", "this lender is not known here"),
        Problem::new(408, "Request Timeout", "the request came too slowly"),
        Problem::not_served(FailureReason::NoCapacity, 0),
        Problem::not_served(FailureReason::NoCapacity, 1_500_000),
        Problem::not_served(FailureReason::NoBackend, 0),
        Problem::not_served(FailureReason::NoBackend, 2_000_000),
        Problem::not_served(FailureReason::BackendFailed, 2_000_000),
        Problem::not_served(FailureReason::DeadlineExceeded, 2_000_000),
    ]
}

/// Encodes each problem for every combination of closing connection and HEAD request.
fn encoded_problems() -> String {
    let mut text = String::new();
    for problem in all_problems() {
        for (close, is_head) in [(false, false), (true, false), (false, true), (true, true)] {
            text += &String::from_utf8(problem.encode(close, is_head)).expect("a response is UTF-8");
            text += "\n----\n";
        }
    }
    text
}

#[test]
fn writes_the_problem_details_of_version_0_1_0() {
    assert_eq!(encoded_problems(), PROBLEMS);
}

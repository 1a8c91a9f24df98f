//! The report on routes and lenders, as version 0.1.0 wrote it: later versions write the same bytes.

use crate::{Front, HttpExchange, Lender, Setup, Tally};
use exchange::{Clock, Exchange, FailureReason, FinalAnswer};
use http::Response;
use link::locked;
use openapi::{Description, RouteTable};
use policy::{Plan, RequestClass, Settings};
use std::sync::Arc;
use std::time::Duration;

const REPORT: &str = include_str!("../../tests/fixtures/report.txt");

const DESCRIPTION: &str = r#"{"openapi":"3.1.0","x-snowfield-default":{"units":1,"class":"lookup"},"paths":{
    "/loans/{loan}":{"get":{},"post":{"x-snowfield-units":2.5}},"/rates":{"options":{}}}}"#;

fn front() -> Arc<Front> {
    let settings = Settings {
        classes: vec![RequestClass::default()],
        plans: vec![Plan::default()],
        ..Settings::default()
    };
    let exchange: Arc<HttpExchange> = Exchange::new(settings, 1, Clock::start()).expect("usable settings");
    let table = RouteTable::load(&[Description { name: "loans.json", text: DESCRIPTION }]).expect("a table");
    let lender = |name: &str, number: u64, plan: &str| Lender {
        name: name.into(),
        customer: number,
        plan: 0,
        plan_name: plan.into(),
    };
    let setup = Setup {
        classes: vec![(0, 2_500_000); table.routes().len()],
        table,
        lender_header: "x-lender".into(),
        lenders: vec![lender("acme", 1, "gold"), lender("bank", 2, "basic")],
        set_size: 1.0,
        largest_body: 1024,
        most_sockets: 8,
        patience: Duration::from_secs(1),
    };
    Front::new(exchange, setup)
}

#[test]
fn writes_the_report_of_version_0_1_0() {
    let front = front();
    assert!(front.report().contains("served 0  busy 0  failed 0"));
    locked(&front.tallies)[1] = Tally { served: 12_345, busy: 67, failed: 8 };
    assert_eq!(front.report(), REPORT);
}

#[test]
fn counts_each_kind_of_final_answer() {
    let mut counts = Tally::default();
    let answer = Response { status: 200, head: Vec::new(), length: None, body: Vec::new() };
    counts.count(&FinalAnswer::Served(answer));
    for _ in 0..2 {
        counts
            .count(&FinalAnswer::<Response>::Rejected { retry_after: 1, reason: FailureReason::NoCapacity });
    }
    for _ in 0..3 {
        counts.count(&FinalAnswer::<Response>::Failed(FailureReason::BackendFailed));
    }
    assert_eq!(counts, Tally { served: 1, busy: 2, failed: 3 });
}

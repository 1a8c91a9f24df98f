//! Guards the bytes of the report, which later versions write exactly as version 0.1.0 did.

use crate::{Front, FrontConfig, HttpExchange, RouteClass, RouteCounts, Tenant};
use exchange::{Clock, Exchange, FailureReason, FinalAnswer, TenantId};
use http::Response;
use link::lock_or_abort;
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
    let exchange: Arc<HttpExchange> = Exchange::new(settings, 1, Clock::start()).expect("valid settings");
    let table = RouteTable::load(&[Description { name: "loans.json", text: DESCRIPTION }])
        .expect("a valid route table");
    let tenant = |name: &str, number: u64, plan: &str| Tenant {
        name: name.into(),
        id: TenantId(number),
        plan: 0,
        plan_name: plan.into(),
    };
    let config = FrontConfig {
        classes: vec![RouteClass { class: 0, deadline: 2_500_000 }; table.routes().len()],
        routes: table,
        tenant_header: "x-lender".into(),
        tenants: vec![tenant("acme", 1, "gold"), tenant("bank", 2, "basic")],
        tenant_gatekeeper_count: 1.0,
        max_body_bytes: 1024,
        max_connections: 8,
        client_timeout: Duration::from_secs(1),
    };
    Front::new(exchange, config)
}

#[test]
fn writes_the_report_of_version_0_1_0() {
    let front = front();
    assert!(front.report().contains("served 0  busy 0  failed 0"));
    lock_or_abort(&front.counts)[1] = RouteCounts { served: 12_345, rejected: 67, failed: 8 };
    assert_eq!(front.report(), REPORT);
}

#[test]
fn counts_each_kind_of_final_answer() {
    let mut counts = RouteCounts::default();
    let response = Response { status: 200, head: Vec::new(), length: None, body: Vec::new() };
    counts.count(&FinalAnswer::Served(response));
    for _ in 0..2 {
        counts
            .count(&FinalAnswer::<Response>::Rejected { retry_after: 1, reason: FailureReason::NoCapacity });
    }
    for _ in 0..3 {
        counts.count(&FinalAnswer::<Response>::Failed(FailureReason::BackendFailed));
    }
    assert_eq!(counts, RouteCounts { served: 1, rejected: 2, failed: 3 });
}

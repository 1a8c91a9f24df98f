//! Texts of the eligibility reasons in log lines and on the console.

use super::*;
use crate::{ConsulConfig, LastAnswers, WatchConfig};
use catalogue::{HealthStatus, StabilityConfig};
use std::sync::Arc;
use std::time::Duration;

fn watch() -> Arc<ServiceWatch> {
    let consul = ConsulConfig {
        agents: vec![([127, 0, 0, 1], 8500).into()],
        token_file: None,
        datacenter: None,
        namespace: None,
        partition: None,
        max_staleness: None,
        blocking_wait: Duration::from_secs(10),
    };
    let config = WatchConfig {
        service: "loan-server".into(),
        tag: None,
        filter: None,
        stability: StabilityConfig::default(),
        last_number: 0,
    };
    let last_answers = Arc::new(LastAnswers::default());
    ServiceWatch::new(consul, config, last_answers, None, Box::new(|_| {}), Box::new(|_| false))
}

#[test]
fn describes_each_reason_in_words_and_whole_seconds() {
    let watch = watch();
    // Slightly less than two seconds remain when the text is made. The text rounds the remaining time up.
    let until = watch.last_answers.now() + Duration::from_secs(2);
    for (reason, text) in [
        (EligibilityReason::Listed, "it is listed"),
        (EligibilityReason::Unhealthy(HealthStatus::Critical), "it is critical"),
        (EligibilityReason::Unhealthy(HealthStatus::Maintenance), "it is in maintenance"),
        (EligibilityReason::Unhealthy(HealthStatus::NodeDown), "it is on a node that is down"),
        (EligibilityReason::Flapping(until), "it is flapping, and is held for 2 s"),
        (EligibilityReason::DuplicateAddress, "another instance has its address"),
        (EligibilityReason::ZeroWeight, "its weight is 0"),
        (EligibilityReason::Retained(until), "it vanished with many, and is retained for 2 s"),
        (EligibilityReason::Deregistered, "it is no longer listed"),
    ] {
        assert_eq!(watch.describe_reason(reason), text);
    }
    assert_eq!(watch.status().origin, "no list yet");
}

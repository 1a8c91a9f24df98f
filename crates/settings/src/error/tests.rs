//! Texts of the errors that operators read.

use super::*;
use policy::Settings;

fn timing_violation() -> timing::TimingViolation {
    timing::TimingViolation {
        class: "lookup".into(),
        rule: timing::TimingRule::ZeroValue,
        problem: "wanted_ms is 0".into(),
        remedy: "it must be above 0".into(),
    }
}

#[test]
fn an_error_names_the_key_and_the_value() {
    let key = || "agreed.lease_ms".to_owned();
    let name = || "gold".to_owned();
    let address = ([10, 0, 0, 1], 80).into();
    for (error, text) in [
        (SettingsError::NestedTooDeep, "the JSON is nested too deeply"),
        (
            SettingsError::MissingKey { key: "settings.classes.name".into() },
            "the key settings.classes.name is missing",
        ),
        (
            SettingsError::InvalidValue { key: key(), value: "4".into(), requirement: "500 to 60000".into() },
            "agreed.lease_ms is 4, but must be 500 to 60000",
        ),
        (
            SettingsError::NotOnLoopback { key: "status", address, reason: "it has no access control" },
            "status: 10.0.0.1:80 is not on loopback; it has no access control",
        ),
        (
            SettingsError::PortZero { key: "cluster.listen", remedy: "set one" },
            "cluster.listen: port 0 cannot be told to others; set one",
        ),
        (SettingsError::EmptyList { key: "descriptions" }, "descriptions: at least one is needed"),
        (SettingsError::Unnamed { kind: "plan" }, "a plan has no name"),
        (SettingsError::Duplicate { kind: "plan", name: name() }, "plan \"gold\" comes twice"),
        (
            SettingsError::UnknownPlan { tenant: "sohar".into(), plan: name() },
            "lender \"sohar\" has the unknown plan \"gold\"",
        ),
        (
            SettingsError::PlanNotInFile { plan: name() },
            "plan \"gold\" is none of the file's; a new one needs a restart",
        ),
        (SettingsError::EmptyPlan { plan: name() }, "plan \"gold\" needs units_per_second and burst above 0"),
        (SettingsError::CeilingBelowQuota { plan: name() }, "plan \"gold\" has its ceiling below its quota"),
        (
            SettingsError::Timing(vec![timing_violation(), timing_violation()]),
            "the timing of the classes is invalid:\n  class \"lookup\": wanted_ms is 0; it must be above 0\n  \
             class \"lookup\": wanted_ms is 0; it must be above 0",
        ),
        (
            SettingsError::UnknownEffect { class: "lookup".into(), effect: "harmless".into() },
            "class lookup: unknown effect \"harmless\"",
        ),
    ] {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn an_error_of_several_settings_names_the_conflict() {
    let policy_error =
        Settings { gatekeepers: 0, ..Settings::default() }.validate().expect_err("no gatekeeper");
    let policy_text = policy_error.to_string();
    for (error, text) in [
        (
            SettingsError::ReplicationWithoutCluster,
            "agreed: the table [cluster] is missing; it sets this instance's name and key file",
        ),
        (SettingsError::ReplicaListenerMismatch, "agreed: a voter needs listen, and only a voter has it"),
        (
            SettingsError::StoreTimeoutTooLong { timeout_ms: 200, period_ms: 300 },
            "cluster.store_timeout_ms is 200, more than half of the shortest period, 300: \
             a failed lease request could not be retried in the same period",
        ),
        (
            SettingsError::TooManyClassesOrPlans,
            "more than 4096 different classes or plans since the process started",
        ),
        (SettingsError::Policy(policy_error), policy_text.as_str()),
    ] {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn an_error_of_a_parser_keeps_its_position() {
    let toml = toml::from_str::<toml::Table>("a = 1\nb =").expect_err("a truncated text");
    assert_eq!(SettingsError::from(toml.clone()).to_string(), toml.to_string());
    assert!(toml.to_string().contains("line 2"), "{toml}");
    let json = || simd_json::to_owned_value(&mut b"{\"a\":".to_vec()).expect_err("a truncated text");
    assert_eq!(SettingsError::from(json()).to_string(), json().to_string());
}

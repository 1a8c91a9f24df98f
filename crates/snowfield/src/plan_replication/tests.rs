//! Tests of the plans that an instance enforces in a state of the replicated configuration, and of rejected versions and files.

use super::*;
use config_node::{ConfigVersion, Version};

const FILE: &str = "listen = \"127.0.0.1:0\"\ndescriptions = [\"a\"]\nlender_header = \"X-Lender\"\n\
    [consul]\naddress = \"127.0.0.1:1\"\nservice = \"s\"\n\
    [cluster]\nname = \"m0\"\nlisten = \"127.0.0.1:7946\"\nkey_file = \"k\"\n\
    [agreed]\nlisten = \"127.0.0.1:7000\"\nwhen_apart = 0.25\n\
    voters = [{ name = \"m0\", address = \"127.0.0.1:7000\" }, { name = \"m1\", address = \"127.0.0.1:7001\" }, \
    { name = \"m2\", address = \"127.0.0.1:7002\" }]\n\
    [[class]]\nname = \"c\"\nrepeat = \"safe\"\nwanted_ms = 300\ndeadline_ms = 1000\n\
    [[plan]]\nname = \"a\"\nunits_per_second = 40.0\nburst = 80.0\n\
    [[plan]]\nname = \"b\"\nunits_per_second = 8.0\nburst = 8.0\nceiling_per_second = 16.0\nceiling_burst = 16.0\n\
    [[lender]]\nname = \"l\"\nplan = \"a\"\n";

fn version(number: u64, text: &str) -> Option<Version> {
    Some(Version { number: ConfigVersion(number), proposed_by: "x".into(), text: text.into() })
}

#[test]
fn a_rollout_enforces_the_stricter_figures_and_a_missing_lease_a_share_of_them() {
    let config = ApplianceConfig::parse(FILE).expect("the file is valid");
    let replication = config.replication.clone().expect("the file has the table `agreed`");
    let rates = |view: &ConfigView| {
        let plans = enforced_plans(&config, &replication, view);
        (plans[0].units_per_second, plans[0].burst, plans[1].ceiling_per_second)
    };
    let mut view = ConfigView { has_lease: true, ..ConfigView::default() };
    assert_eq!(rates(&view), (40.0, 80.0, 16.0));
    view.proposed = version(1, "[[plan]]\nname = \"a\"\nunits_per_second = 10.0\nburst = 100.0\n");
    assert_eq!(rates(&view), (10.0, 80.0, 16.0));
    (view.in_force, view.proposed) = (view.proposed, None);
    assert_eq!(rates(&view), (10.0, 100.0, 16.0));
    view.has_lease = false;
    assert_eq!(rates(&view), (2.5, 25.0, 4.0));
}

#[test]
fn the_error_of_an_invalid_version_or_file_names_the_cause() {
    let config = ApplianceConfig::parse(FILE).expect("the file is valid");
    for (text, reason) in [
        ("[[plan]]\nname = \"z\"\nunits_per_second = 1.0\nburst = 1.0\n", "none of the file's"),
        ("[[plan]]\nname = \"a\"\nunits_per_second = 0.0\nburst = 1.0\n", "above 0"),
        (
            "[[plan]]\nname = \"a\"\nunits_per_second = 4.0\nburst = 1.0\nceiling_per_second = 2.0\n",
            "below its quota",
        ),
        ("lender = 1", "lender"),
    ] {
        let error = apply_version(&config, text).expect_err(text).to_string();
        assert!(error.contains(reason), "{error}");
    }
    for (from, to, reason) in [
        ("[cluster]\nname = \"m0\"", "[cluster]\nname = \"m9\"", "only a voter"),
        ("{ name = \"m1\", address = \"127.0.0.1:7001\" }, ", "", "three or five"),
        ("when_apart = 0.25", "when_apart = 2.0", "when_apart"),
    ] {
        let error = ApplianceConfig::parse(&FILE.replace(from, to)).expect_err(to).to_string();
        assert!(error.contains(reason), "{error}");
    }
}

//! Valid and invalid requests.

use super::*;

const GOOD: &str = "c=lookup,t=team,d=480,units=2,spread=3,first=1";

fn request(arguments: &[&str]) -> Result<Request<Query>, InvalidRequest> {
    let class = |name: &str, number, is_idempotent| {
        let (name, deadline_ms) = (name.into(), 2500);
        ClassRule { name, number, is_idempotent, deadline_ms }
    };
    let rules = RequestRules {
        classes: vec![class("lookup", 0, true), class("notice", 1, false)],
        plans: vec![PlanRule { name: "team".into(), number: 0 }],
        gatekeepers: 4,
        max_units: Some(8.0),
    };
    let mut raw = Vec::new();
    resp::put_command(&mut raw, &arguments.iter().map(|w| w.as_bytes()).collect::<Vec<_>>());
    let command = resp::command(&raw, 0).expect("a command").expect("a whole one");
    rules.validate(&raw, &command.arguments).map(|valid| valid.request)
}

#[test]
fn what_the_protocol_allows_is_a_valid_request() {
    let valid = request(&["SVC.QUERY", "00000001ffffffff", "9b1f", GOOD]).expect("it is good");
    assert_eq!((valid.class, valid.plan, valid.tenant), (0, 0, TenantId(0x1_ffff_ffff)));
    assert_eq!((valid.units, valid.tenant_gatekeepers, valid.time_left), (2.0, 3.0, 470_000));
    let list = GOOD.replace("lookup", "notice");
    assert!(request(&["SVC.SUBMIT", "00000000b4d65521", "1", &list, "body"]).is_ok());
}

/// Guards usual tenants: an amount or a set that is none would be booked on whoever is named.
#[test]
fn what_is_out_of_range_or_missing_is_invalid() {
    let tenant = "00000000b4d65521";
    for arguments in [
        &["SVC.QUERY", tenant, "1"][..],
        &["SVC.QUERY", tenant, "1", GOOD, "body"],
        &["SVC.SUBMIT", tenant, "1", GOOD],
        &["SVC.QUERY", tenant, "", GOOD],
        &["SVC.QUERY", tenant, "a b", GOOD],
        &["SVC.QUERY", "0000000200000000", "1", GOOD],
        &["SVC.QUERY", "b4d65521", "1", GOOD],
        &["SVC.QUERY", "+0000000b4d65521", "1", GOOD],
    ] {
        assert!(request(arguments).is_err(), "{arguments:?}");
    }
    for (good, bad) in [
        ("c=lookup", &["c=lookups", "c=notice", "c=", "c=lookup,c=lookup"][..]),
        ("t=team", &["t=nobody", "t="]),
        ("d=480", &["d=", "d=0", "d=-5", "d=+480", "d=nan", "d=1e3", "d=10001", "d=99999999999999999999999"]),
        ("units=2", &["units=", "units=0", "units=-40", "units=nan", "units=inf", "units=1e12", "units=9"]),
        ("spread=3", &["spread=0", "spread=5", "spread=2.5", "spread=", "spread=99999999999999999999"]),
        ("first=1", &["first=4", "first=-1", "first=2.5", "first="]),
    ] {
        for bad in bad {
            let list = GOOD.replace(good, bad);
            assert!(request(&["SVC.QUERY", tenant, "1", &list]).is_err(), "{list}");
        }
    }
}

/// Clients read these texts.
#[test]
fn each_error_names_what_is_invalid() {
    let tenant = "00000000b4d65521";
    let list = |good: &str, bad: &str| GOOD.replace(good, bad);
    for (arguments, text) in [
        (["GET", tenant, "1", GOOD], "unknown command"),
        (["SVC.QUERY", "x", "1", GOOD], "no such customer"),
        (["SVC.QUERY", tenant, "", GOOD], "no usable id"),
        (["SVC.QUERY", tenant, "1", "c=lookup,c=lookup"], "a malformed list of values"),
        (["SVC.QUERY", tenant, "1", &list("lookup", "nothing")], "no such class"),
        (["SVC.SUBMIT", tenant, "1", GOOD], "the class has another command"),
        (["SVC.QUERY", tenant, "1", &list("team", "nobody")], "no such plan"),
        (["SVC.QUERY", tenant, "1", &list("480", "0")], "d is out of range"),
        (["SVC.QUERY", tenant, "1", &list("units=2", "units=9")], "units are out of range"),
        (["SVC.QUERY", tenant, "1", &list("spread=3", "spread=5")], "spread is out of range"),
        (["SVC.QUERY", tenant, "1", &list("first=1", "first=4")], "first is out of range"),
    ] {
        assert_eq!(request(&arguments).expect_err(text).to_string(), text);
    }
    assert_eq!(
        request(&["SVC.QUERY", tenant, "1"]).expect_err("too few").to_string(),
        "wrong number of words"
    );
}

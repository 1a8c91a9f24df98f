//! Which commands are valid requests.

use super::*;

const VALID_VALUES: &str = "c=lookup,t=team,d=480,units=2,spread=3,first=1";

const TENANT: &str = "00000000b4d65521";

fn rules() -> RequestRules {
    let class = |name: &str, number, is_idempotent| ClassRule {
        name: name.into(),
        number,
        is_idempotent,
        deadline_ms: 2500,
    };
    RequestRules {
        classes: vec![class("lookup", 0, true), class("notice", 1, false)],
        plans: vec![PlanRule { name: "team".into(), number: 0 }],
        gatekeeper_count: 4,
        max_units: Some(8.0),
    }
}

/// Encodes a command of these arguments and validates it.
fn validate(arguments: &[&str]) -> Result<Request<RequestCommand>, InvalidRequest> {
    let mut raw = Vec::new();
    resp::put_command(&mut raw, &arguments.iter().map(|argument| argument.as_bytes()).collect::<Vec<_>>());
    let command = resp::parse_command(&raw, 0).expect("valid RESP2").expect("a complete command");
    rules().validate(&raw, &command.arguments).map(|valid| valid.request)
}

#[test]
fn accepts_each_command_of_the_protocol() {
    let valid = validate(&["SVC.QUERY", "00000001ffffffff", "9b1f", VALID_VALUES]).expect("a valid request");
    assert_eq!((valid.class, valid.plan, valid.tenant), (0, 0, TenantId(0x1_ffff_ffff)));
    assert_eq!((valid.units, valid.tenant_gatekeepers, valid.time_left), (2.0, 3.0, 470_000));
    let list = VALID_VALUES.replace("lookup", "notice");
    assert!(validate(&["SVC.SUBMIT", "00000000b4d65521", "1", &list, "body"]).is_ok());
}

/// Guards against quota charges of malformed amounts to the tenant that the request names.
#[test]
fn rejects_arguments_and_values_that_are_missing_or_out_of_range() {
    for arguments in [
        &["SVC.QUERY", TENANT, "1"][..],
        &["SVC.QUERY", TENANT, "1", VALID_VALUES, "body"],
        &["SVC.SUBMIT", TENANT, "1", VALID_VALUES],
        &["SVC.QUERY", TENANT, "", VALID_VALUES],
        &["SVC.QUERY", TENANT, "a b", VALID_VALUES],
        &["SVC.QUERY", "0000000200000000", "1", VALID_VALUES],
        &["SVC.QUERY", "b4d65521", "1", VALID_VALUES],
        &["SVC.QUERY", "+0000000b4d65521", "1", VALID_VALUES],
    ] {
        assert!(validate(arguments).is_err(), "{arguments:?}");
    }
    for (valid, invalid) in [
        ("c=lookup", &["c=lookups", "c=notice", "c=", "c=lookup,c=lookup"][..]),
        ("t=team", &["t=nobody", "t="]),
        ("d=480", &["d=", "d=0", "d=-5", "d=+480", "d=nan", "d=1e3", "d=10001", "d=99999999999999999999999"]),
        ("units=2", &["units=", "units=0", "units=-40", "units=nan", "units=inf", "units=1e12", "units=9"]),
        ("spread=3", &["spread=0", "spread=5", "spread=2.5", "spread=", "spread=99999999999999999999"]),
        ("first=1", &["first=4", "first=-1", "first=2.5", "first="]),
    ] {
        for invalid in invalid {
            let list = VALID_VALUES.replace(valid, invalid);
            assert!(validate(&["SVC.QUERY", TENANT, "1", &list]).is_err(), "{list}");
        }
    }
}

/// Clients read these texts: they are part of the wire format.
#[test]
fn an_error_names_the_invalid_argument_or_value() {
    let list = |valid: &str, invalid: &str| VALID_VALUES.replace(valid, invalid);
    for (arguments, text) in [
        (["GET", TENANT, "1", VALID_VALUES], "unknown command"),
        (["SVC.QUERY", "x", "1", VALID_VALUES], "no such customer"),
        (["SVC.QUERY", TENANT, "", VALID_VALUES], "no usable id"),
        (["SVC.QUERY", TENANT, "1", "c=lookup,c=lookup"], "a malformed list of values"),
        (["SVC.QUERY", TENANT, "1", &list("lookup", "nothing")], "no such class"),
        (["SVC.SUBMIT", TENANT, "1", VALID_VALUES], "the class has another command"),
        (["SVC.QUERY", TENANT, "1", &list("team", "nobody")], "no such plan"),
        (["SVC.QUERY", TENANT, "1", &list("480", "0")], "d is out of range"),
        (["SVC.QUERY", TENANT, "1", &list("units=2", "units=9")], "units are out of range"),
        (["SVC.QUERY", TENANT, "1", &list("spread=3", "spread=5")], "spread is out of range"),
        (["SVC.QUERY", TENANT, "1", &list("first=1", "first=4")], "first is out of range"),
    ] {
        assert_eq!(validate(&arguments).expect_err(text).to_string(), text);
    }
    assert_eq!(
        validate(&["SVC.QUERY", TENANT, "1"]).expect_err("too few arguments").to_string(),
        "wrong number of words"
    );
}

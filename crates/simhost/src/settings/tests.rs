//! Valid settings, and errors that name the setting.

use super::parse;

const VALID: &str = "balancers=2\nme=0\nclasses.count=1\nclasses.0.goal-time-us=500000\n\
                      classes.0.deadline-us=1000000\nclasses.0.effect=read_like\n";

#[test]
fn valid_settings_are_parsed() {
    let settings = parse(VALID).expect("they are valid");
    assert_eq!((settings.gatekeepers, settings.classes.len()), (2, 1));
}

#[test]
fn each_error_names_the_setting() {
    let cases = [
        ("balancers=2\n", "", "setting balancers is missing"),
        ("me=0", "me=x", "setting me has the unusable value x"),
        ("me=0", "me=2", "setting `me` must be below the number of gateways"),
        ("read_like", "other", "setting classes.0.effect has the unusable value \"other\""),
    ];
    for (valid, invalid, text) in cases {
        let error = parse(&VALID.replace(valid, invalid)).expect_err(text);
        assert_eq!(error.to_string(), text);
    }
}

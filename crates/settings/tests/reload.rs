//! Reloads: rejection of invalid files, and numbers of classes and plans across files.

use policy::Idempotency;
use settings::platform::PlatformConfig;
use settings::{KeySet, Numbering, SettingsError};

const CLASS: &str = r#"{"name":"lookup","goal-time-us":600000,"deadline-us":2500000,"effect":"read_like"}"#;

fn file(classes: &str) -> String {
    format!(
        r#"{{"name":"n3","listen":"127.0.0.1:6379","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{{"sockets":1024}},"counter":"127.0.0.1:6400","known":{{"rev":41,"all":true,"targets":[{{"uid":"s","state":"up"}}]}},
"settings":{{"balancers":2,"me":1,"classes":[{classes}],
"contracts":[{{"name":"standard","per-second":5.6,"depth":32.0}},{{"name":"basic","per-second":2.0,"depth":8.0}}],
"bounds":{{"max-attempts":6}}}}}}"#
    )
}

fn parse_config(text: &str) -> Result<PlatformConfig, SettingsError> {
    PlatformConfig::parse(&mut text.as_bytes().to_vec())
}

fn keys(text: &str) -> Result<KeySet, SettingsError> {
    KeySet::of(&mut text.as_bytes().to_vec())
}

/// Returns the error with which a reload rejects a file; `None` if it accepts the file.
fn rejection(text: &str) -> Option<String> {
    let in_force = keys(&file(CLASS)).expect("a valid file");
    let checked =
        keys(text).and_then(|other| in_force.check_all_present_in(&other)).and_then(|()| parse_config(text));
    checked.err().map(|error| error.to_string())
}

#[test]
fn an_invalid_replacement_is_rejected_with_the_cause() {
    assert_eq!(rejection(&file(CLASS)), None);
    assert!(rejection("").is_some());
    let valid = file(CLASS);
    for length in 0..valid.len() {
        assert!(rejection(&valid[..length]).is_some(), "truncated to {length} bytes");
    }
    for (from, to, expected) in [
        ("2500000", "0", "0 is not a number from 1 to"),
        ("2500000", "-5", "-5 is not a number from 1 to"),
        ("2500000", "0.5", "0.5 is not a number from 1 to"),
        ("2500000", "\"soon\"", "max-attempts is not a number"),
        ("2500000", "null", "max-attempts is not a number"),
        ("2500000", "1e400", ""),
        ("\"max-attempts\":6", "\"max-attempts\":0", "0 is not a number from 1 to"),
        ("\"max-attempts\":6", "\"max-attempts\":\"six\"", "max-attempts is not a number"),
        ("\"max-attempts\":6", "\"max-attempts\":[6]", "max-attempts is not a number"),
        ("\"max-attempts\":6", "\"most\":6", "max-attempts"),
        ("\"deadline-us\":2500000,", "", "deadline-us"),
        ("\"counter\":\"127.0.0.1:6400\",", "", "counter"),
        ("\"seed\":", "\"seeds\":", "seed"),
        (",\"depth\":8.0", "", "depth"),
        ("read_like", "harmless", "harmless"),
        ("\"basic\"", "\"standard\"", "twice"),
        ("[{\"name\":\"lookup\"", "[{\"name\":\"lookup\"},{\"name\":\"lookup\"", ""),
        ("127.0.0.1:8500", "nowhere", "discovery"),
    ] {
        assert!(valid.contains(from), "{from}");
        let error =
            rejection(&valid.replacen(from, to, 1)).unwrap_or_else(|| panic!("{from} -> {to} was accepted"));
        assert!(error.contains(expected), "{from} -> {to}: {error}");
    }
    assert_eq!(rejection(&valid.replace("2500000", "2500000.0")), None, "a decimal point is allowed");
    assert_eq!(
        rejection(&file(CLASS).replace(r#"{"uid":"s","state":"up"}"#, "")),
        None,
        "the endpoint list is not a setting"
    );
}

#[test]
fn numbers_of_classes_and_plans_keep_their_meaning_across_reloads() {
    let mut numbering = Numbering::default();
    let numbers = |numbering: &Numbering| {
        numbering.classes().map(|class| (class.number, class.name.to_owned())).collect::<Vec<_>>()
    };
    numbering.update(&parse_config(&file(CLASS)).expect("a valid file")).expect("few classes and plans");
    assert_eq!(numbers(&numbering), [(0, "lookup".to_owned())]);
    // The class is removed, and another one is added.
    let other = CLASS.replace("lookup", "lookup-r2");
    let settings =
        numbering.update(&parse_config(&file(&other)).expect("a valid file")).expect("few classes and plans");
    assert_eq!(numbers(&numbering), [(1, "lookup-r2".to_owned())]);
    assert_eq!(settings.classes.len(), 2, "requests in flight keep their class");
    // A changed class gets a new number, and an unchanged one its former number.
    let stricter = CLASS.replace("read_like", "non_idempotent");
    let settings = numbering
        .update(&parse_config(&file(&stricter)).expect("a valid file"))
        .expect("few classes and plans");
    assert_eq!(numbers(&numbering), [(2, "lookup".to_owned())]);
    assert_eq!(
        (settings.classes[0].idempotency, settings.classes[2].idempotency),
        (Idempotency::Idempotent, Idempotency::NonIdempotent)
    );
    numbering.update(&parse_config(&file(CLASS)).expect("a valid file")).expect("few classes and plans");
    assert_eq!(numbers(&numbering), [(0, "lookup".to_owned())]);
    assert_eq!(numbering.class_names(), ["lookup", "lookup-r2", "lookup"]);
    // Plans in another order, one of them with other limits.
    let text = file(CLASS).replace(r#""name":"standard","per-second":5.6"#, r#""name":"x","per-second":1.0"#);
    let text = text.replace("\"basic\"", "\"standard\"");
    let settings =
        numbering.update(&parse_config(&text).expect("a valid file")).expect("few classes and plans");
    assert_eq!(
        numbering.plans().map(|plan| (plan.number, plan.name)).collect::<Vec<_>>(),
        [(2, "x"), (0, "standard")]
    );
    assert_eq!((settings.plans[0].rate, settings.plans[1].rate, settings.plans[2].rate), (2.0, 2.0, 1.0));
}

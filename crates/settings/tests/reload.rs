//! Files that replace others: which are rejected, and what the numbers of classes and plans mean over them.

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

fn config(text: &str) -> Result<PlatformConfig, SettingsError> {
    PlatformConfig::parse(&mut text.as_bytes().to_vec())
}

fn keys(text: &str) -> Result<KeySet, SettingsError> {
    KeySet::of(&mut text.as_bytes().to_vec())
}

/// Why a file does not replace the good one.
fn rejection(text: &str) -> Option<String> {
    let good = keys(&file(CLASS)).expect("it is good");
    let checked = keys(text).and_then(|other| good.check_included_in(&other)).and_then(|()| config(text));
    checked.err().map(|error| error.to_string())
}

#[test]
fn a_bad_file_is_rejected_with_its_own_reason() {
    assert_eq!(rejection(&file(CLASS)), None);
    assert!(rejection("").is_some());
    let whole = file(CLASS);
    for cut in 0..whole.len() {
        assert!(rejection(&whole[..cut]).is_some(), "cut at {cut}");
    }
    for (from, to, told) in [
        ("2500000", "0", "above 0"),
        ("2500000", "-5", "above 0"),
        ("2500000", "0.5", "above 0"),
        ("2500000", "\"soon\"", "above 0"),
        ("2500000", "null", "above 0"),
        ("2500000", "1e400", ""),
        ("\"max-attempts\":6", "\"max-attempts\":0", "above 0"),
        ("\"max-attempts\":6", "\"max-attempts\":\"six\"", "above 0"),
        ("\"max-attempts\":6", "\"max-attempts\":[6]", "above 0"),
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
        assert!(whole.contains(from), "{from}");
        let why =
            rejection(&whole.replacen(from, to, 1)).unwrap_or_else(|| panic!("{from} -> {to} was taken"));
        assert!(why.contains(told), "{from} -> {to}: {why}");
    }
    assert_eq!(rejection(&whole.replace("2500000", "2500000.0")), None, "a number above 0 all the same");
    assert_eq!(
        rejection(&file(CLASS).replace(r#"{"uid":"s","state":"up"}"#, "")),
        None,
        "the list is no setting"
    );
}

#[test]
fn numbers_keep_their_meaning() {
    let mut numbering = Numbering::default();
    let numbers = |numbering: &Numbering| {
        numbering.classes().map(|class| (class.number, class.name.to_owned())).collect::<Vec<_>>()
    };
    numbering.update(&config(&file(CLASS)).expect("good")).expect("room");
    assert_eq!(numbers(&numbering), [(0, "lookup".to_owned())]);
    // It vanishes, and another appears.
    let other = CLASS.replace("lookup", "lookup-r2");
    let settings = numbering.update(&config(&file(&other)).expect("good")).expect("room");
    assert_eq!(numbers(&numbering), [(1, "lookup-r2".to_owned())]);
    assert_eq!(settings.classes.len(), 2, "what is under way keeps its class");
    // It comes back stricter: another number; as it was: its own.
    let stricter = CLASS.replace("read_like", "non_idempotent");
    let settings = numbering.update(&config(&file(&stricter)).expect("good")).expect("room");
    assert_eq!(numbers(&numbering), [(2, "lookup".to_owned())]);
    assert_eq!(
        (settings.classes[0].idempotency, settings.classes[2].idempotency),
        (Idempotency::Idempotent, Idempotency::NonIdempotent)
    );
    numbering.update(&config(&file(CLASS)).expect("good")).expect("room");
    assert_eq!(numbers(&numbering), [(0, "lookup".to_owned())]);
    assert_eq!(numbering.class_names(), ["lookup", "lookup-r2", "lookup"]);
    // Plans in another order, one of them with other figures.
    let text = file(CLASS).replace(r#""name":"standard","per-second":5.6"#, r#""name":"x","per-second":1.0"#);
    let text = text.replace("\"basic\"", "\"standard\"");
    let settings = numbering.update(&config(&text).expect("good")).expect("room");
    assert_eq!(
        numbering.plans().map(|plan| (plan.number, plan.name)).collect::<Vec<_>>(),
        [(2, "x"), (0, "standard")]
    );
    assert_eq!((settings.plans[0].rate, settings.plans[1].rate, settings.plans[2].rate), (2.0, 2.0, 1.0));
}

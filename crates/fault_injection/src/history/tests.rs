//! Reading a damaged history, and finding log lines by their text.

use super::{Observation, read};

#[test]
fn an_invalid_line_is_reported_with_its_number() {
    let text = "{\"at\":1,\"what\":\"started\",\"who\":\"m0\"}\n{\"at\":2,\"what\":\"unheard of\"}\n";
    let error = read(text).expect_err("no such kind").to_string();
    assert!(error.starts_with("history line 2: unknown variant `unheard of`"), "{error}");
}

#[test]
fn finds_a_log_line_by_any_of_several_texts() {
    let line = |text: &str| Observation::LogLine {
        process: "m0".into(),
        text: text.into(),
        fields: Default::default(),
    };
    let texts = ["lease confirmed after its response was lost", "holds, though the response was lost"];
    assert!(line("lease confirmed after its response was lost").is_log_line_with(&texts));
    assert!(line("duty-3: round 7 holds, though the response was lost").is_log_line_with(&texts));
    assert!(!line("lease lost").is_log_line_with(&texts));
    assert!(!Observation::ProcessStarted { process: texts[0].into() }.is_log_line_with(&texts));
}

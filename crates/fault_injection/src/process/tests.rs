//! Lines of the log.

use super::log::LogLine;
use serde_json::{Map, Value};

#[test]
fn a_line_of_the_log_is_read_with_its_own_time_and_other_output_as_it_is() {
    let line = r#"{"timestamp":"17","level":"INFO","message":"consul: a takes work","server":"a","takes_work":true,"target":"consul"}"#;
    let parsed = LogLine::parse(line.to_owned());
    assert_eq!((parsed.at_us, parsed.text.as_str()), (Some(17), "consul: a takes work"));
    assert_eq!(parsed.fields.len(), 2);
    assert_eq!(parsed.fields["takes_work"], Value::Bool(true));
    for other in ["fatal: a panic", "[1]", "{\"timestamp\":"] {
        let as_it_is = LogLine { at_us: None, text: other.to_owned(), fields: Map::new() };
        assert_eq!(LogLine::parse(other.to_owned()), as_it_is);
    }
}

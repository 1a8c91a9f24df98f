//! Start times in the stored form of an instance.

use crate::Instance;
use timestamps::UnixTime;

/// Reads an instance whose JSON ends with these fields, and returns its start time.
fn read_started_at(fields: &str) -> Option<Option<UnixTime>> {
    let json = format!(r#"{{"id":"x","address":"127.0.0.1:80","health":"Passing","weight":1.0{fields}}}"#);
    let instance: Option<Instance> = serde_json::from_str(&json).ok();
    instance.map(|instance| instance.started_at)
}

#[test]
fn a_start_time_is_a_whole_number_null_or_absent() {
    assert_eq!(read_started_at(r#","started":17"#), Some(Some(UnixTime::from_millis(17))));
    assert_eq!(read_started_at(r#","started":null"#), Some(None));
    assert_eq!(read_started_at(""), Some(None));
    for invalid in [r#","started":-1"#, r#","started":1.5"#, r#","started":"17""#, r#","started":[17]"#] {
        assert_eq!(read_started_at(invalid), None, "{invalid}");
    }
}

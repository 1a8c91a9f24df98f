//! Tests the form of a fault in stored schedules.

use super::*;
use serde_json::json;

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(tag = "kind", rename_all = "snake_case")]
enum Kind {
    Killed { target: String },
}

#[test]
fn a_stored_fault_has_its_times_in_milliseconds_beside_the_fields_of_its_kind() {
    let kind = Kind::Killed { target: "m0".to_owned() };
    let fault = Fault::new(Duration::from_millis(1_500), Duration::from_secs(2), kind);
    let form = json!({"at_ms": 1_500, "for_ms": 2_000, "kind": "killed", "target": "m0"});
    assert_eq!(serde_json::to_value(&fault).expect("the fault is serialized"), form);
    assert_eq!(serde_json::from_value::<Fault<Kind>>(form).expect("the fault is deserialized"), fault);
    assert_eq!(fault.end(), Duration::from_millis(3_500));
}

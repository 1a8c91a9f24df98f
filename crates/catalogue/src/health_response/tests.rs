//! Health status, weights and invalid entries of a response.

use super::*;
use timestamps::UnixTime;

fn entry_json(id: &str, service: &str, checks: &[(&str, &str)]) -> String {
    let checks: Vec<String> =
        checks.iter().map(|(id, status)| format!(r#"{{"CheckID":"{id}","Status":"{status}"}}"#)).collect();
    format!(
        r#"{{"Node":{{"Node":"n","Address":"127.0.0.1"}},"Service":{{"ID":"{id}",{service}}},"Checks":[{}]}}"#,
        checks.join(",")
    )
}

fn parse_one(service: &str, checks: &[(&str, &str)]) -> HealthResponse {
    HealthResponse::parse(format!("[{}]", entry_json("x", service, checks)).as_bytes())
        .expect("a valid response")
}

#[test]
fn health_is_the_worst_check_and_reserved_check_ids_are_recognized() {
    for (checks, health) in [
        (&[][..], HealthStatus::Passing),
        (&[("serfHealth", "passing"), ("c", "passing")], HealthStatus::Passing),
        (&[("serfHealth", "passing"), ("c", "warning")], HealthStatus::Warning),
        (&[("c", "critical"), ("d", "warning")], HealthStatus::Critical),
        (&[("c", "something new")], HealthStatus::Critical),
        (&[("_service_maintenance:x", "critical"), ("c", "critical")], HealthStatus::Maintenance),
        (&[("_node_maintenance", "critical")], HealthStatus::Maintenance),
        (&[("serfHealth", "critical"), ("c", "passing")], HealthStatus::NodeDown),
    ] {
        assert_eq!(parse_one(r#""Port":80"#, checks).instances[0].health, health, "{checks:?}");
    }
}

#[test]
fn weights_follow_health_and_are_scaled_by_metadata() {
    let weights = r#""Port":80,"Weights":{"Passing":3,"Warning":1}"#;
    assert_eq!(parse_one(weights, &[]).instances[0].weight, 3.0);
    assert_eq!(parse_one(weights, &[("c", "warning")]).instances[0].weight, 1.0);
    let meta = r#""Port":80,"Weights":{"Passing":2,"Warning":1},"Meta":{"snowfield-capacity":"1.5","snowfield-started-ms":"17"}"#;
    let instance = &parse_one(meta, &[]).instances[0];
    assert_eq!((instance.weight, instance.started_at), (3.0, Some(UnixTime::from_millis(17))));
    assert_eq!(parse_one(r#""Port":80"#, &[]).instances[0].weight, 1.0);
}

#[test]
fn reports_invalid_entries_by_id_and_keeps_the_valid_ones() {
    let entries = [
        entry_json("good", r#""Address":"127.0.0.9","Port":80"#, &[]),
        entry_json("name", r#""Address":"loans.example.com","Port":80"#, &[]),
        entry_json("port", r#""Port":0"#, &[]),
        entry_json("large", r#""Port":70000"#, &[]),
        entry_json("meta", r#""Port":80,"Meta":{"snowfield-capacity":"much"}"#, &[]),
        entry_json("time", r#""Port":80,"Meta":{"snowfield-started-ms":"-1"}"#, &[]),
        entry_json("weight", r#""Port":80,"Weights":{"Passing":-1,"Warning":1}"#, &[]),
    ];
    let response =
        HealthResponse::parse(format!("[{}]", entries.join(",")).as_bytes()).expect("a valid response");
    assert_eq!(response.instances.len(), 1);
    let names: Vec<&str> = response.invalid.iter().map(|instance| instance.id.as_str()).collect();
    assert_eq!(names, ["n/name", "n/port", "n/large", "n/meta", "n/time", "n/weight"]);
}

#[test]
fn keeps_the_less_healthy_of_two_instances_with_the_same_id() {
    let entries =
        [entry_json("x", r#""Port":80"#, &[]), entry_json("x", r#""Port":81"#, &[("c", "critical")])];
    let response =
        HealthResponse::parse(format!("[{}]", entries.join(",")).as_bytes()).expect("a valid response");
    assert_eq!(response.instances.len(), 1);
    assert_eq!(response.instances[0].health, HealthStatus::Critical);
}

#[test]
fn rejects_truncated_responses_and_does_not_panic_on_garbage() {
    let body = format!(
        "[{}]",
        entry_json("x", r#""Port":80,"Weights":{"Passing":3,"Warning":1}"#, &[("c", "passing")])
    );
    for end in 0..body.len() {
        assert!(HealthResponse::parse(&body.as_bytes()[..end]).is_err(), "truncated to {end} bytes");
    }
    fuzz_inputs::assert_no_panic_on_malformed_input(body.as_bytes(), |pieces| {
        drop(HealthResponse::parse(&pieces.concat()))
    });
}

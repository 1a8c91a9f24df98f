//! Health, weights and invalid instances of a response.

use super::*;

fn row(id: &str, service: &str, checks: &[(&str, &str)]) -> String {
    let checks: Vec<String> =
        checks.iter().map(|(id, status)| format!(r#"{{"CheckID":"{id}","Status":"{status}"}}"#)).collect();
    format!(
        r#"{{"Node":{{"Node":"n","Address":"127.0.0.1"}},"Service":{{"ID":"{id}",{service}}},"Checks":[{}]}}"#,
        checks.join(",")
    )
}

fn one(service: &str, checks: &[(&str, &str)]) -> HealthResponse {
    HealthResponse::parse(format!("[{}]", row("x", service, checks)).as_bytes()).expect("a response")
}

#[test]
fn takes_the_worst_check_and_knows_reserved_names() {
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
        assert_eq!(one(r#""Port":80"#, checks).instances[0].health, health, "{checks:?}");
    }
}

#[test]
fn weights_follow_health_and_are_scaled_by_metadata() {
    let weights = r#""Port":80,"Weights":{"Passing":3,"Warning":1}"#;
    assert_eq!(one(weights, &[]).instances[0].weight, 3.0);
    assert_eq!(one(weights, &[("c", "warning")]).instances[0].weight, 1.0);
    let meta = r#""Port":80,"Weights":{"Passing":2,"Warning":1},"Meta":{"snowfield-capacity":"1.5","snowfield-started-ms":"17"}"#;
    let instance = &one(meta, &[]).instances[0];
    assert_eq!((instance.weight, instance.started_at), (3.0, Some(17)));
    assert_eq!(one(r#""Port":80"#, &[]).instances[0].weight, 1.0);
}

#[test]
fn leaves_out_invalid_instances_by_name_and_keeps_the_rest() {
    let rows = [
        row("good", r#""Address":"127.0.0.9","Port":80"#, &[]),
        row("name", r#""Address":"loans.example.com","Port":80"#, &[]),
        row("port", r#""Port":0"#, &[]),
        row("large", r#""Port":70000"#, &[]),
        row("meta", r#""Port":80,"Meta":{"snowfield-capacity":"much"}"#, &[]),
        row("time", r#""Port":80,"Meta":{"snowfield-started-ms":"-1"}"#, &[]),
        row("weight", r#""Port":80,"Weights":{"Passing":-1,"Warning":1}"#, &[]),
    ];
    let response = HealthResponse::parse(format!("[{}]", rows.join(",")).as_bytes()).expect("a response");
    assert_eq!(response.instances.len(), 1);
    let names: Vec<&str> = response.invalid.iter().map(|instance| instance.id.as_str()).collect();
    assert_eq!(names, ["n/name", "n/port", "n/large", "n/meta", "n/time", "n/weight"]);
}

#[test]
fn of_two_instances_with_one_id_the_unhealthier_counts() {
    let rows = [row("x", r#""Port":80"#, &[]), row("x", r#""Port":81"#, &[("c", "critical")])];
    let response = HealthResponse::parse(format!("[{}]", rows.join(",")).as_bytes()).expect("a response");
    assert_eq!(response.instances.len(), 1);
    assert_eq!(response.instances[0].health, HealthStatus::Critical);
}

#[test]
fn rejects_a_truncated_response_and_survives_garbage() {
    let body =
        format!("[{}]", row("x", r#""Port":80,"Weights":{"Passing":3,"Warning":1}"#, &[("c", "passing")]));
    for end in 0..body.len() {
        assert!(HealthResponse::parse(&body.as_bytes()[..end]).is_err(), "{end}");
    }
    fuzz_inputs::survives_garbage(body.as_bytes(), |pieces| drop(HealthResponse::parse(&pieces.concat())));
}

//! Compares the responses to a fixed sequence of requests with recorded ones, byte for byte. Random session ids are replaced, and
//! `Content-Length` is left out once a session exists.

use stand_in_consul::{CheckStatus, Consul, Service, Weights};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};

/// Requests as method, target and body. `SESSION` is replaced by the id of the session that was created last.
const SCRIPT: &[(&str, &str, &str)] = &[
    ("GET", "/v1/status/leader", ""),
    ("GET", "/v1/kv/a", ""),
    ("PUT", "/v1/kv/a?flags=7", "one"),
    ("GET", "/v1/kv/a", ""),
    ("PUT", "/v1/kv/a?cas=0", "two"),
    ("PUT", "/v1/kv/a?cas=11", "two"),
    ("PUT", "/v1/kv/a%2Fb", "three"),
    ("GET", "/v1/kv/a?recurse", ""),
    ("PUT", "/v1/kv/a?cas=x", "two"),
    ("PUT", "/v1/kv/a?acquire=none", "two"),
    ("PUT", "/v1/kv/a?acquire=none&cas=1", "two"),
    ("POST", "/v1/kv/a", ""),
    ("PUT", "/v1/session/create", r#"{"Name":"short","TTL":"1s"}"#),
    ("PUT", "/v1/session/create", r#"{"Name":"s","TTL":"15s","LockDelay":"0s","Behavior":"delete"}"#),
    ("PUT", "/v1/kv/lock?acquire=SESSION", "held"),
    ("GET", "/v1/kv/lock", ""),
    ("PUT", "/v1/session/renew/SESSION", ""),
    (
        "PUT",
        "/v1/txn",
        r#"[{"KV":{"Verb":"check-session","Key":"lock","Session":"SESSION"}},{"KV":{"Verb":"cas","Key":"t","Value":"YQ==","Index":0}},{"KV":{"Verb":"get","Key":"t"}}]"#,
    ),
    (
        "PUT",
        "/v1/txn",
        r#"[{"KV":{"Verb":"cas","Key":"t","Value":"Yg==","Index":0}},{"KV":{"Verb":"get","Key":"no"}}]"#,
    ),
    (
        "PUT",
        "/v1/txn",
        r#"[{"KV":{"Verb":"set","Key":"t","Value":"Yg==","Flags":3}},{"KV":{"Verb":"check-index","Key":"t","Index":1}},{"KV":{"Verb":"lock","Key":"lock","Session":"other"}},{"KV":{"Verb":"check-session","Key":"t","Session":"x"}},{"KV":{"Verb":"delete","Key":"t"}}]"#,
    ),
    ("PUT", "/v1/txn", r#"[{"KV":{"Verb":"leap","Key":"t"}}]"#),
    ("PUT", "/v1/txn", "{}"),
    ("PUT", "/v1/kv/lock?release=SESSION", "free"),
    ("PUT", "/v1/session/destroy/SESSION", ""),
    ("PUT", "/v1/session/renew/SESSION", ""),
    ("PUT", "/v1/session/leap/SESSION", ""),
    ("DELETE", "/v1/kv/a?recurse", ""),
    ("GET", "/v1/kv/a/b", ""),
    ("GET", "/v1/health/service/loans", ""),
    ("GET", "/v1/health/service/loans?passing", ""),
    ("GET", "/v1/health/service/loans?tag=blue", ""),
    ("GET", "/v1/health/service/none", ""),
    ("GET", "/v1/catalog/service/loans", ""),
    ("PUT", "/v1/agent/service/register", r#"{"Name":"gate","Port":8080}"#),
    ("PUT", "/v1/agent/check/pass/service:gate", ""),
    ("PUT", "/v1/agent/check/pass/service:none", ""),
    ("PUT", "/v1/agent/service/deregister/gate", ""),
    ("PUT", "/v1/agent/service/deregister/gate", ""),
    ("PUT", "/v1/agent/service/register", "{}"),
    ("PUT", "/v1/agent/service/register", "-"),
    ("GET", "/v2/none", ""),
];

fn services() -> Vec<Service> {
    let service = |i: u16| Service::new(&format!("l{i}"), SocketAddr::from(([127, 0, 0, 1], 7_000 + i)));
    let mut services: Vec<Service> = (0..4).map(service).collect();
    services[1].status = CheckStatus::Critical;
    services[1].tags = vec!["blue".to_owned()];
    services[2].in_maintenance = true;
    services[2].meta.insert("zone".to_owned(), "a".to_owned());
    services[3].is_node_healthy = false;
    services[3].weights = Weights { passing: 3, warning: 2 };
    services
}

/// Reads the head and the body of a response.
fn read_response(reader: &mut impl BufRead) -> (String, String) {
    let (mut head, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a line of the head");
        if line.trim().is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("Content-Length: ") {
            length = value.trim().parse().expect("Content-Length is a number");
        }
        head += &line;
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the whole body");
    (head, String::from_utf8(body).expect("the body is UTF-8"))
}

#[test]
fn responses_are_byte_for_byte_as_recorded() {
    let consul = Consul::start();
    consul.set_service(11, "loans", services());
    let listener = consul.open();
    listener.translate(SocketAddr::from(([127, 0, 0, 1], 7_000)), SocketAddr::from(([127, 0, 0, 2], 80)));
    let mut stream = TcpStream::connect(listener.address).expect("the listener accepts connections");
    let mut reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
    let (mut transcript, mut session) = (String::new(), "none".to_owned());
    for (method, target, body) in SCRIPT {
        let (sent_target, sent_body) =
            (target.replace("SESSION", &session), body.replace("SESSION", &session));
        let length = sent_body.len();
        let head = format!("{method} {sent_target} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all((head + &sent_body).as_bytes()).expect("the request is sent");
        let (mut head, mut body) = read_response(&mut reader);
        if let Some(id) = body.strip_prefix(r#"{"ID":""#).and_then(|rest| rest.split('"').next()) {
            session = id.to_owned();
        }
        if session != "none" {
            body = body.replace(&session, "SESSION");
            let end = head.find("Content-Length").expect("the head has a Content-Length");
            head.truncate(end);
        }
        writeln!(transcript, "{method} {target}\n{}{body}\n", head.replace('\r', ""))
            .expect("writing to a string cannot fail");
    }
    assert_eq!(transcript, include_str!("fixtures/http.txt"));
}

#[test]
fn requests_are_counted_by_method_and_first_two_path_segments() {
    let consul = Consul::start();
    let listener = consul.open();
    for (method, target) in [("GET", "/v1/kv/a/b"), ("GET", "/v1/kv/c"), ("PUT", "/v1/txn")] {
        let mut stream = TcpStream::connect(listener.address).expect("the listener accepts connections");
        let request = format!("{method} {target} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(request.as_bytes()).expect("the request is sent");
        read_response(&mut BufReader::new(stream));
    }
    let counts: Vec<(String, u64)> = consul.request_counts().into_iter().collect();
    assert_eq!(counts, [("GET /v1/kv".to_owned(), 2), ("PUT /v1/txn".to_owned(), 1)]);
}

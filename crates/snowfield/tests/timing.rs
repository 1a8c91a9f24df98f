//! Timing rules of classes in the settings file of the OpenAPI front: validated, explained and enforced.

mod common;

use common::*;
use stand_in_consul::{Consul, Service};
use std::net::SocketAddr;
use std::time::Instant;

const LOANS: &str = r#"{"openapi":"3.0.3","info":{"title":"L","version":"1"},"paths":{"/loans/{loan}":{
  "get":{"x-snowfield-units":1,"x-snowfield-class":"lookup","responses":{}},
  "post":{"x-snowfield-units":1,"x-snowfield-class":"notice","responses":{}}}}}"#;

/// The text of a settings file with these further lines for the classes `lookup` and `notice`.
fn config_text(consul: SocketAddr, lookup: &str, notice: &str) -> String {
    format!(
        "listen = \"127.0.0.1:0\"\ndescriptions = [\"loans.json\"]\nlender_header = \"X-Lender\"\n\
         [consul]\naddress = \"{consul}\"\nservice = \"loan-server\"\n[limits]\nconnect_ms = 50\n\
         [[class]]\nname = \"lookup\"\nrepeat = \"safe\"\nwanted_ms = 1200\ndeadline_ms = 2500\n{lookup}\n\
         [[class]]\nname = \"notice\"\nrepeat = \"unsafe\"\nwanted_ms = 1200\ndeadline_ms = 2500\n{notice}\n\
         [[plan]]\nname = \"basic\"\nunits_per_second = 1000.0\nburst = 4000.0\n\
         [[lender]]\nname = \"al-noor\"\nplan = \"basic\"\n"
    )
}

fn directory_with_description(test: &str) -> TestDirectory {
    let directory = TestDirectory::new(test);
    directory.write("loans.json", LOANS);
    directory
}

#[test]
fn an_invalid_settings_file_is_rejected_with_all_reasons() {
    let directory = directory_with_description("timing-bad");
    let lookup = "attempts = 3\nattempt_ms = 900\ncopy_after_ms = 1500";
    let text = config_text(unused_address(), lookup, "attempt_ms = 40\ncopy_after_ms = 30");
    let (succeeded, output) = run(&["check", &directory.write("a.toml", &text)], &[]);
    assert!(!succeeded);
    for expected in [
        "class \"lookup\": 3 attempts of 900 ms take up to 2700 ms, and the client gives up after 2500; state fewer",
        "class \"lookup\": a copy after 1500 ms comes when the answer is no longer wanted (1200 ms)",
        "class \"lookup\": a copy after 1500 ms never comes",
        "class \"notice\": an attempt of 40 ms ends before a connection may be made (50 ms)",
        "class \"notice\": a second copy of a request that must not run twice",
    ] {
        assert!(output.contains(expected), "no {expected:?} in {output}");
    }
}

#[test]
fn explain_shows_the_source_of_each_value_and_the_worst_case() {
    let directory = directory_with_description("timing-explain");
    let text = config_text(unused_address(), "attempts = 3\nattempt_ms = 800\ncopy_after_ms = 200", "");
    let path = directory.write("a.toml", &text);
    let (succeeded, output) = run(&["explain", &path, "GET", "/loans/7"], &[]);
    assert!(succeeded, "{output}");
    for expected in [
        "class lookup",
        "attempts       3, stated by class \"lookup\"",
        "     0 ms  attempt 1 begins and is silent",
        "   200 ms  a second copy may be sent",
        "  2400 ms  the client has its answer",
    ] {
        assert!(output.contains(expected), "no {expected:?} in {output}");
    }
    let (_, output) = run(&["explain", &path, "POST", "/loans/7"], &[]);
    assert!(output.contains("from limits.route_steps") && output.contains("may run again  no"), "{output}");
    let (succeeded, output) = run(&["explain", &path, "PUT", "/loans/7"], &[]);
    assert!(!succeeded && output.contains("GET, POST"), "{output}");
}

/// If a backend does not reply, the attempt ends at its timeout. An idempotent request is then retried, and any other request is
/// answered with an error.
#[test]
fn an_attempt_ends_at_its_timeout_and_only_an_idempotent_one_is_retried() {
    let (silent, events) = start_backend(read_message, |_| Behaviour::NoReply);
    let (replying, _events) = start_backend(read_message, |_| {
        Behaviour::Reply(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_vec())
    });
    let consul = Consul::start();
    let set_instances = |addresses: &[SocketAddr], index| {
        let services = addresses
            .iter()
            .enumerate()
            .map(|(i, address)| Service::new(&format!("loans-{i}"), *address))
            .collect();
        consul.set_service(index, "loan-server", services);
    };
    set_instances(&[silent, replying], 11);
    let directory = directory_with_description("timing-kept");
    let lookup_timing = "attempts = 2\nattempt_ms = 300\ncopy_after_ms = 290";
    let text = config_text(consul.open().address, lookup_timing, "attempts = 1\nattempt_ms = 300");
    let program = Program::start(&["serve", &directory.write("a.toml", &text)], &[]);
    let listen: SocketAddr =
        program.wait_for_log("serving OpenAPI on ").parse().expect("a valid socket address");
    program.wait_for_log("eligible_count=2");
    let send_request = |method: &str| {
        let started = Instant::now();
        let request = format!(
            "{method} /loans/7 HTTP/1.1\r\nHost: a\r\nX-Lender: al-noor\r\nContent-Length: 0\r\n\r\n"
        );
        (Client::connect(listen).request(&request).status(), started.elapsed().as_millis())
    };
    let mut silent_attempts = 0;
    while silent_attempts == 0 {
        let (status, took) = send_request("GET");
        assert_eq!(status, 200);
        assert!(took < 1_200, "at most one attempt of 300 ms precedes the response: {took} ms");
        silent_attempts = events.try_iter().filter(|event| matches!(event, BackendEvent::Request(_))).count();
    }
    // A rejected request has not run and can be sent again, and some requests reach the backend that replies. Requests are sent
    // until one gets a server error.
    let started = Instant::now();
    let (mut status, mut took) = (200, 0);
    while status < 500 && started.elapsed() < TIMEOUT {
        (status, took) = send_request("POST");
    }
    assert!(status >= 500 && (300..1_200).contains(&took), "status {status} after {took} ms");
}

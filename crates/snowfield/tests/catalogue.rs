//! Endpoint lists during faults of Consul in the real program, and several services of one gatekeeper. `make proof-catalogue`
//! tests the faults at length.

mod common;

use common::*;
use stand_in_consul::{CheckStatus, Consul, Fault, Service, Weights};
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

const LOANS: &str = r#"{"openapi":"3.0.3","info":{"title":"L","version":"1"},"x-snowfield-default":{"units":1,"class":"lookup"},
  "paths":{"/loans":{"get":{"responses":{}}},
           "/papers":{"x-snowfield-default":{"service":"paper-server"},"get":{"x-snowfield-units":4,"responses":{}}}}}"#;

/// The settings of a program: `consul` and `plan` are lines of their tables, `further_tables` are whole tables.
fn config_text(consul: &str, further_tables: &str, plan: &str) -> String {
    format!(
        "listen = \"127.0.0.1:0\"\nstatus = \"{}\"\ndescriptions = [\"loans.json\"]\nlender_header = \"X-Lender\"\n\
         [consul]\nservice = \"loan-server\"\nwait_ms = 500\n{consul}\n[[service]]\nname = \"paper-server\"\n{further_tables}\n\
         [[class]]\nname = \"lookup\"\nrepeat = \"safe\"\nwanted_ms = 300\ndeadline_ms = 2500\n\
         [[plan]]\nname = \"basic\"\n{plan}\n[[lender]]\nname = \"al-noor\"\nplan = \"basic\"\n",
        unused_address()
    )
}

const UNLIMITED_PLAN: &str = "units_per_second = 100000.0\nburst = 400000.0";

fn test_directory(test: &str) -> TestDirectory {
    let directory = TestDirectory::new(test);
    directory.write("loans.json", LOANS);
    directory
}

fn start_ok_backend() -> (SocketAddr, Receiver<BackendEvent<Message>>) {
    start_backend(read_message, |_| {
        Behaviour::Reply(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec())
    })
}

/// Sends a GET request and returns the response.
fn get(gatekeeper: SocketAddr, path: &str) -> Message {
    Client::connect(gatekeeper)
        .request(&format!("GET {path} HTTP/1.1\r\nHost: a\r\nX-Lender: al-noor\r\n\r\n"))
}

/// Waits until a program serves, and returns its address.
fn serving_address(program: &Program) -> SocketAddr {
    program.wait_for_log("serving OpenAPI on ").parse().expect("a valid socket address")
}

/// Each service has its own endpoint list, and a tenant has one quota for all services.
#[test]
fn requests_go_to_the_service_of_their_route_and_share_one_quota() {
    let (loans, loans_events) = start_ok_backend();
    let (papers, papers_events) = start_ok_backend();
    let consul = Consul::start();
    consul.set_service(11, "loan-server", vec![Service::new("l", loans)]);
    consul.set_service(11, "paper-server", vec![Service::new("p", papers)]);
    let directory = test_directory("services");
    let address = format!("address = \"{}\"", consul.open().address);
    // The quota for one second: 9 units over all services.
    let path = directory.write("a.toml", &config_text(&address, "", "units_per_second = 9.0\nburst = 9.0"));
    let program = Program::start(&["serve", &path], &[]);
    let listen = serving_address(&program);
    program.wait_for_log("eligible_count=1");
    program.wait_for_log("eligible_count=1");
    assert_eq!(get(listen, "/loans").status(), 200);
    assert_eq!(get(listen, "/papers").status(), 200);
    assert_eq!((all_requests(&loans_events).len(), all_requests(&papers_events).len()), (1, 1));
    assert_eq!(get(listen, "/papers").status(), 200);
    // All 9 units are used, and the bucket has not refilled by 4 units yet.
    assert_eq!(get(listen, "/papers").status(), 429);
    // A service without eligible instances does not affect the other service.
    consul.set_service(
        12,
        "paper-server",
        vec![Service::new("p", papers).with_status(CheckStatus::Critical)],
    );
    program.wait_for_log("endpoint list changed service=paper-server listed=1 eligible_count=0");
    let deadline = Instant::now() + TIMEOUT;
    loop {
        // The status is 429 while the quota is exhausted, which is checked first, and then 503, since no instance is eligible.
        match get(listen, "/papers").status() {
            503 => break,
            other => assert!(other == 429 && Instant::now() < deadline, "{other}"),
        }
    }
    while get(listen, "/loans").status() != 200 {
        assert!(Instant::now() < deadline);
    }
    assert!(all_requests(&papers_events).len() <= 1);
}

#[test]
fn an_undefined_service_is_rejected_at_load() {
    let directory = test_directory("unknown");
    let text = config_text("address = \"127.0.0.1:1\"", "", UNLIMITED_PLAN)
        .replace("[[service]]\nname = \"paper-server\"", "");
    let (succeeded, output) = run(&["check", &directory.write("a.toml", &text)], &[]);
    assert!(
        !succeeded && output.contains("the service \"paper-server\", which the file does not define"),
        "{output}"
    );
}

#[test]
fn the_watch_fails_over_to_another_agent_and_uses_the_current_token() {
    let (old, _old_events) = start_ok_backend();
    let (new, new_events) = start_ok_backend();
    let consul = Consul::start();
    consul.update(|state| (state.token, state.compresses) = (Some("secret-1".into()), true));
    consul.set_service(11, "loan-server", vec![Service::new("l", old)]);
    consul.set_service(11, "paper-server", Vec::new());
    let (first_agent, second_agent) = (consul.open(), consul.open());
    let directory = test_directory("agents");
    directory.write("token", "secret-1\n");
    let consul_settings = format!(
        "address = \"{}\"\nagents = [\"{}\"]\ntoken_file = \"token\"\nsudden_hold_ms = 200\nstale_ms = 5000",
        first_agent.address, second_agent.address
    );
    let program = Program::start(
        &["serve", &directory.write("a.toml", &config_text(&consul_settings, "", UNLIMITED_PLAN))],
        &[],
    );
    let listen = serving_address(&program);
    program.wait_for_log("endpoint list changed service=loan-server listed=1 eligible_count=1");
    first_agent.fail(Fault::Closed);
    program.wait_for_log(&format!("agent selected service=loan-server agent={}", second_agent.address));
    consul.set_service(12, "loan-server", vec![Service::new("l2", new)]);
    program.wait_for_log("endpoint eligible service=loan-server backend=a/l2");
    while all_requests(&new_events).is_empty() {
        assert_eq!(get(listen, "/loans").status(), 200);
    }
    // The token changes first in Consul and then in its file. The program reads it without a restart.
    consul.update(|state| state.token = Some("secret-2".into()));
    assert!(program.wait_for_log("agent unreachable, previous list kept in force").contains("status 403"));
    directory.write("token", "secret-2\n");
    program.wait_for_log("agent recovered");
    // A response from Consul without a leader is not used.
    consul.update(|state| state.leaderless = true);
    consul.set_service(13, "loan-server", Vec::new());
    assert!(
        program
            .wait_for_log("watch failed, previous list kept in force")
            .contains("error=\"the servers have no leader")
    );
    assert_eq!(get(listen, "/loans").status(), 200);
}

#[test]
fn a_restart_during_an_outage_serves_from_the_cached_list_and_rejects_an_altered_one() {
    let (address, _events) = start_ok_backend();
    let consul = Consul::start();
    consul.set_service(11, "loan-server", vec![Service::new("l", address)]);
    consul.set_service(11, "paper-server", vec![Service::new("p", address)]);
    let (listener, directory) = (consul.open(), test_directory("list"));
    let consul_settings = format!("address = \"{}\"\nlist_file = \"list\"", listener.address);
    let path = directory.write("a.toml", &config_text(&consul_settings, "", UNLIMITED_PLAN));
    let cache_file = directory.path().join("list");
    let mut program = Program::start(&["serve", &path], &[]);
    program.wait_for_log("eligible_count=1");
    program.wait_for_log("eligible_count=1");
    let deadline = Instant::now() + TIMEOUT;
    while !std::fs::read_to_string(&cache_file).is_ok_and(|text| text.contains("a/l") && text.contains("a/p"))
    {
        assert!(Instant::now() < deadline, "the cache file is not written");
        std::thread::yield_now();
    }
    program.terminate();
    assert_eq!(program.wait(), Some(0));
    listener.fail(Fault::Silent);
    let mut program = Program::start(&["serve", &path], &[]);
    program.wait_for_log(
        "cached endpoint list in use until Consul answers service=loan-server count=1 age_seconds=",
    );
    let listen = serving_address(&program);
    assert_eq!(get(listen, "/loans").status(), 200);
    assert_eq!(get(listen, "/papers").status(), 200);
    program.terminate();
    program.wait();
    let text = std::fs::read_to_string(&cache_file).expect("the cache file is readable");
    std::fs::write(&cache_file, text.replace("a/l", "a/m")).expect("the cache file is altered");
    let program = Program::start(&["serve", &path], &[]);
    assert!(program.wait_for_log("endpoint cache not usable").contains("it was cut short or altered"));
    let listen = serving_address(&program);
    assert_eq!(get(listen, "/loans").status(), 503);
    listener.fail(Fault::None);
    program.wait_for_log("endpoint list changed service=loan-server listed=1 eligible_count=1");
    assert_eq!(get(listen, "/loans").status(), 200);
}

#[test]
fn traffic_is_distributed_by_the_weights() {
    // Each request takes two milliseconds, which is long compared with scheduling delays. With immediate responses, the
    // same weight gave a backend one fifth or one ninth of the traffic.
    let slow_backend = || {
        start_backend(read_message, |_| {
            std::thread::sleep(Duration::from_millis(2));
            Behaviour::Reply(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec())
        })
    };
    let backends = [slow_backend(), slow_backend(), slow_backend()];
    let consul = Consul::start();
    let weighted_service = |(i, address): (usize, SocketAddr)| {
        let mut service = Service::new(&format!("l{i}"), address);
        service.weights = Weights { passing: i as u32 + 1, warning: 1 };
        service
    };
    let list = backends.iter().map(|backend| backend.0).enumerate().map(weighted_service).collect();
    consul.set_service(11, "loan-server", list);
    consul.set_service(11, "paper-server", Vec::new());
    let directory = test_directory("weights");
    let address = format!("address = \"{}\"", consul.open().address);
    let program = Program::start(
        &["serve", &directory.write("a.toml", &config_text(&address, "", UNLIMITED_PLAN))],
        &[],
    );
    let listen = serving_address(&program);
    program.wait_for_log("endpoint list changed service=loan-server listed=3 eligible_count=3");
    let mut client = Client::connect(listen);
    for _ in 0..600 {
        let response = client.request("GET /loans HTTP/1.1\r\nHost: a\r\nX-Lender: al-noor\r\n\r\n");
        assert_eq!(response.status(), 200);
    }
    let counts = backends.map(|backend| all_requests(&backend.1).len() as f64);
    // Backend selection also uses measured latencies, which vary by chance in a short run.
    let [one, two, three] = counts;
    assert!((1.3..3.2).contains(&(two / one)) && (2.0..4.6).contains(&(three / one)), "{counts:?}");
}

#[test]
fn the_program_registers_again_after_a_lost_registration_and_deregisters_at_shutdown() {
    let consul = Consul::start();
    consul.set_service(11, "loan-server", Vec::new());
    consul.set_service(11, "paper-server", Vec::new());
    let directory = test_directory("register");
    let address = format!("address = \"{}\"", consul.open().address);
    let register =
        "[register]\nname = \"gatekeeper\"\nid = \"gk-1\"\naddress = \"127.0.0.1:9999\"\nttl_ms = 1000";
    let path = directory.write("a.toml", &config_text(&address, register, UNLIMITED_PLAN));
    let mut program = Program::start(&["serve", &path], &[]);
    program.wait_for_log("service registered id=gk-1");
    let registration = || consul.update(|state| state.registrations.get("gk-1").cloned());
    let deadline = Instant::now() + TIMEOUT;
    while registration().is_none_or(|registration| registration.passed_checks < 3) {
        assert!(Instant::now() < deadline, "{:?}", registration());
        std::thread::yield_now();
    }
    let registered = registration().expect("the program is registered");
    assert_eq!((registered.name.as_str(), registered.port), ("gatekeeper", 9999));
    consul.update(|state| state.registrations.clear());
    program.wait_for_log("service registration lost, registering again id=gk-1");
    program.wait_for_log("service registered id=gk-1");
    program.terminate();
    program.wait_for_log("service deregistered id=gk-1");
    assert_eq!(program.wait(), Some(0));
    assert_eq!(registration(), None);
}

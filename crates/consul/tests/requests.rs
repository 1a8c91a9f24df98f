//! Compatibility of the requests to a Consul agent with version 0.1.0: this version sends the same bytes.

use catalogue::StabilityConfig;
use consul::{ConsulConfig, LastAnswers, RegistrationConfig, ServiceWatch, WatchConfig};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

const WATCH: &str = include_str!("fixtures/watch.http");
const WATCH_WITH_ALL_OPTIONS: &str = include_str!("fixtures/watch_all_options.http");
const REGISTRATION: &str = include_str!("fixtures/registration.http");

/// Reads the head and the body of one request; `None` if the connection ends first.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut received = Vec::new();
    let mut piece = [0; 4096];
    loop {
        let text = String::from_utf8(received.clone()).expect("the request is UTF-8");
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.map_or(0, |digits| digits.parse().expect("a numeric content length"));
            if body.len() >= length {
                return Some(text);
            }
        }
        let count = stream.read(&mut piece).ok().filter(|&count| count > 0)?;
        received.extend_from_slice(&piece[..count]);
    }
}

/// Starts a fake agent that sends `responses` to the requests of one connection in order. Its thread returns the received bytes,
/// with the agent's port replaced by `PORT`.
fn start_agent(responses: Vec<&'static str>) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is bound");
    let address = listener.local_addr().expect("the listener has an address");
    let run = move || {
        let mut received = String::new();
        let (mut stream, _) = listener.accept().expect("a connection is accepted");
        for response in responses {
            received += &read_request(&mut stream).expect("a request is received");
            received += "\n----\n";
            stream.write_all(response.as_bytes()).expect("the response is sent");
        }
        received.replace(&address.port().to_string(), "PORT")
    };
    (address, std::thread::spawn(run))
}

fn consul_config(agent: SocketAddr) -> ConsulConfig {
    ConsulConfig {
        agents: vec![agent],
        token_file: None,
        datacenter: None,
        namespace: None,
        partition: None,
        max_staleness: None,
        blocking_wait: Duration::from_millis(10_000),
    }
}

fn start_watch(consul: ConsulConfig, config: WatchConfig) {
    let last_answers = Arc::new(LastAnswers::default());
    let watch = ServiceWatch::new(consul, config, last_answers, None, Box::new(|_| {}), Box::new(|_| false));
    watch.start().expect("the thread is started");
}

fn watch_config(service: &str) -> WatchConfig {
    WatchConfig {
        service: service.into(),
        tag: None,
        filter: None,
        stability: StabilityConfig::default(),
        last_number: 0,
    }
}

const EMPTY_LIST: &str = "HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nContent-Length: 2\r\n\r\n[]";

#[test]
fn watches_send_the_requests_of_version_0_1_0() {
    let (address, received) = start_agent(vec![EMPTY_LIST, EMPTY_LIST]);
    start_watch(consul_config(address), watch_config("loan-server"));
    assert_eq!(received.join().expect("the agent received all requests"), WATCH);
}

#[test]
fn watches_with_all_options_send_the_requests_of_version_0_1_0() {
    let token_file = std::env::temp_dir().join(format!("snowfield-requests-{}", std::process::id()));
    std::fs::write(&token_file, "4f6a-token\n").expect("the token is written");
    let (address, received) = start_agent(vec![EMPTY_LIST, EMPTY_LIST]);
    let consul = ConsulConfig {
        token_file: Some(token_file.clone()),
        datacenter: Some("dc1".into()),
        namespace: Some("team a".into()),
        partition: Some("p/1".into()),
        max_staleness: Some(Duration::from_millis(500)),
        ..consul_config(address)
    };
    let filter = Some(r#"Service.Meta.zone == "z1""#.to_owned());
    start_watch(consul, WatchConfig { tag: Some("v2".into()), filter, ..watch_config("loan server/é") });
    let received = received.join().expect("the agent received all requests");
    std::fs::remove_file(&token_file).expect("the token file exists");
    assert_eq!(received, WATCH_WITH_ALL_OPTIONS);
}

#[test]
fn registrations_send_the_requests_of_version_0_1_0() {
    const ACCEPTED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let (address, received) = start_agent(vec![ACCEPTED, ACCEPTED, ACCEPTED]);
    let registration = RegistrationConfig {
        name: "gatekeeper".into(),
        id: "gate keeper-1".into(),
        address: "10.1.2.3:8443".parse().expect("a valid address"),
        ttl: Duration::from_millis(10_000),
    };
    let registered = consul::register(consul_config(address), registration).expect("the thread is started");
    // After this wait the registration and the first heartbeat have been sent, and the second heartbeat is not due yet.
    std::thread::sleep(Duration::from_millis(500));
    registered.deregister();
    assert_eq!(received.join().expect("the agent received all requests"), REGISTRATION);
}

//! The list of destinations through Consul's faults in the real program, short forms of `make proof-catalogue`, and several
//! services behind one gatekeeper.

mod common;

use common::*;
use stand_in_consul::{CheckStatus, Consul, Fault, Service, Weights};
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

const LOANS: &str = r#"{"openapi":"3.0.3","info":{"title":"L","version":"1"},"x-snowfield-default":{"units":1,"class":"lookup"},
  "paths":{"/loans":{"get":{"responses":{}}},
           "/papers":{"x-snowfield-default":{"service":"paper-server"},"get":{"x-snowfield-units":4,"responses":{}}}}}"#;

fn file(consul: &str, rest: &str, plan: &str) -> String {
    format!(
        "listen = \"127.0.0.1:0\"\nstatus = \"{}\"\ndescriptions = [\"loans.json\"]\nlender_header = \"X-Lender\"\n\
         [consul]\nservice = \"loan-server\"\nwait_ms = 500\n{consul}\n[[service]]\nname = \"paper-server\"\n{rest}\n\
         [[class]]\nname = \"lookup\"\nrepeat = \"safe\"\nwanted_ms = 300\ndeadline_ms = 2500\n\
         [[plan]]\nname = \"basic\"\n{plan}\n[[lender]]\nname = \"al-noor\"\nplan = \"basic\"\n",
        unused_address()
    )
}

const WIDE: &str = "units_per_second = 100000.0\nburst = 400000.0";

fn folder(test: &str) -> TestDirectory {
    let folder = TestDirectory::new(test);
    folder.write("loans.json", LOANS);
    folder
}

fn serving() -> (SocketAddr, Receiver<BackendEvent<Message>>) {
    backend(message, |_| Behaviour::Reply(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec()))
}

fn ask(at: SocketAddr, path: &str) -> Message {
    Client::connect(at).ask(&format!("GET {path} HTTP/1.1\r\nHost: a\r\nX-Lender: al-noor\r\n\r\n"))
}

fn listening(program: &Program) -> SocketAddr {
    program.logged("serving OpenAPI on ").parse().expect("an address")
}

/// Each service has its own list and drains; what a lender may use is one over both.
#[test]
fn routes_go_to_their_service_and_share_one_quota() {
    let (loans, loans_seen) = serving();
    let (papers, papers_seen) = serving();
    let consul = Consul::start();
    consul.set_service(11, "loan-server", vec![Service::new("l", loans)]);
    consul.set_service(11, "paper-server", vec![Service::new("p", papers)]);
    let folder = folder("services");
    let address = format!("address = \"{}\"", consul.open().address);
    // A second's worth at first: 9 units, however they are spread.
    let path = folder.write("a.toml", &file(&address, "", "units_per_second = 9.0\nburst = 9.0"));
    let program = Program::start(&["serve", &path], &[]);
    let listen = listening(&program);
    program.logged("eligible_count=1");
    program.logged("eligible_count=1");
    assert_eq!(ask(listen, "/loans").status(), 200);
    assert_eq!(ask(listen, "/papers").status(), 200);
    assert_eq!((all_requests(&loans_seen).len(), all_requests(&papers_seen).len()), (1, 1));
    assert_eq!(ask(listen, "/papers").status(), 200);
    // 9 of 9 are used but for what has filled since; another 4 are not there.
    assert_eq!(ask(listen, "/papers").status(), 429);
    // One service without instances leaves the other alone.
    consul.set_service(
        12,
        "paper-server",
        vec![Service::new("p", papers).with_status(CheckStatus::Critical)],
    );
    program.logged("endpoint list changed service=paper-server listed=1 eligible_count=0");
    let until = Instant::now() + TIMEOUT;
    loop {
        // 503 where nothing serves; 429 while the quota is empty, which is asked first.
        match ask(listen, "/papers").status() {
            503 => break,
            other => assert!(other == 429 && Instant::now() < until, "{other}"),
        }
    }
    while ask(listen, "/loans").status() != 200 {
        assert!(Instant::now() < until);
    }
    assert!(all_requests(&papers_seen).len() <= 1);
}

#[test]
fn an_undefined_service_is_rejected_at_load() {
    let folder = folder("unknown");
    let text =
        file("address = \"127.0.0.1:1\"", "", WIDE).replace("[[service]]\nname = \"paper-server\"", "");
    let (succeeded, said) = run(&["check", &folder.write("a.toml", &text)], &[]);
    assert!(
        !succeeded && said.contains("the service \"paper-server\", which the file does not define"),
        "{said}"
    );
}

#[test]
fn fails_over_to_another_agent_with_the_token() {
    let (old, _old_seen) = serving();
    let (new, new_seen) = serving();
    let consul = Consul::start();
    consul.update(|s| (s.token, s.compresses) = (Some("secret-1".into()), true));
    consul.set_service(11, "loan-server", vec![Service::new("l", old)]);
    consul.set_service(11, "paper-server", Vec::new());
    let (first, second) = (consul.open(), consul.open());
    let folder = folder("agents");
    folder.write("token", "secret-1\n");
    let more = format!(
        "address = \"{}\"\nagents = [\"{}\"]\ntoken_file = \"token\"\nsudden_hold_ms = 200\nstale_ms = 5000",
        first.address, second.address
    );
    let program = Program::start(&["serve", &folder.write("a.toml", &file(&more, "", WIDE))], &[]);
    let listen = listening(&program);
    program.logged("endpoint list changed service=loan-server listed=1 eligible_count=1");
    first.fail(Fault::Closed);
    program.logged(&format!("agent selected service=loan-server agent={}", second.address));
    consul.set_service(12, "loan-server", vec![Service::new("l2", new)]);
    program.logged("endpoint eligible service=loan-server backend=a/l2");
    while all_requests(&new_seen).is_empty() {
        assert_eq!(ask(listen, "/loans").status(), 200);
    }
    // The token is changed on both sides, without a restart.
    consul.update(|s| s.token = Some("secret-2".into()));
    assert!(program.logged("agent unreachable, previous list kept in force").contains("status 403"));
    folder.write("token", "secret-2\n");
    program.logged("agent recovered");
    // What has no leader behind it is no news.
    consul.update(|s| s.leaderless = true);
    consul.set_service(13, "loan-server", Vec::new());
    assert!(
        program
            .logged("watch failed, previous list kept in force")
            .contains("error=\"the servers have no leader")
    );
    assert_eq!(ask(listen, "/loans").status(), 200);
}

#[test]
fn a_restart_during_an_outage_serves_from_the_cached_list_and_rejects_an_altered_one() {
    let (at, _seen) = serving();
    let consul = Consul::start();
    consul.set_service(11, "loan-server", vec![Service::new("l", at)]);
    consul.set_service(11, "paper-server", vec![Service::new("p", at)]);
    let (door, folder) = (consul.open(), folder("list"));
    let more = format!("address = \"{}\"\nlist_file = \"list\"", door.address);
    let path = folder.write("a.toml", &file(&more, "", WIDE));
    let list = folder.path().join("list");
    let mut program = Program::start(&["serve", &path], &[]);
    program.logged("eligible_count=1");
    program.logged("eligible_count=1");
    let until = Instant::now() + TIMEOUT;
    while !std::fs::read_to_string(&list).is_ok_and(|t| t.contains("a/l") && t.contains("a/p")) {
        assert!(Instant::now() < until, "the list is written");
        std::thread::yield_now();
    }
    program.terminate();
    assert_eq!(program.wait(), Some(0));
    door.fail(Fault::Silent);
    let mut program = Program::start(&["serve", &path], &[]);
    program
        .logged("cached endpoint list in use until Consul answers service=loan-server count=1 age_seconds=");
    let listen = listening(&program);
    assert_eq!(ask(listen, "/loans").status(), 200);
    assert_eq!(ask(listen, "/papers").status(), 200);
    program.terminate();
    program.wait();
    let text = std::fs::read_to_string(&list).expect("the list");
    std::fs::write(&list, text.replace("a/l", "a/m")).expect("it is altered");
    let program = Program::start(&["serve", &path], &[]);
    assert!(program.logged("endpoint cache not usable").contains("it was cut short or altered"));
    let listen = listening(&program);
    assert_eq!(ask(listen, "/loans").status(), 503);
    door.fail(Fault::None);
    program.logged("endpoint list changed service=loan-server listed=1 eligible_count=1");
    assert_eq!(ask(listen, "/loans").status(), 200);
}

#[test]
fn traffic_follows_the_weights() {
    // Two milliseconds of work each: what the machine does beside it is small against that. With none, the same weights gave
    // one in five of the traffic or one in nine.
    let works = || {
        backend(message, |_| {
            std::thread::sleep(Duration::from_millis(2));
            Behaviour::Reply(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec())
        })
    };
    let places = [works(), works(), works()];
    let consul = Consul::start();
    let weighed = |(i, at): (usize, SocketAddr)| {
        let mut service = Service::new(&format!("l{i}"), at);
        service.weights = Weights { passing: i as u32 + 1, warning: 1 };
        service
    };
    let list = places.iter().map(|p| p.0).enumerate().map(weighed).collect();
    consul.set_service(11, "loan-server", list);
    consul.set_service(11, "paper-server", Vec::new());
    let folder = folder("weights");
    let address = format!("address = \"{}\"", consul.open().address);
    let program = Program::start(&["serve", &folder.write("a.toml", &file(&address, "", WIDE))], &[]);
    let listen = listening(&program);
    program.logged("endpoint list changed service=loan-server listed=3 eligible_count=3");
    let mut client = Client::connect(listen);
    for _ in 0..600 {
        let answer = client.ask("GET /loans HTTP/1.1\r\nHost: a\r\nX-Lender: al-noor\r\n\r\n");
        assert_eq!(answer.status(), 200);
    }
    let counts = places.map(|p| all_requests(&p.1).len() as f64);
    // Measured latencies count too, and differ by chance in so short a run.
    let [one, two, three] = counts;
    assert!((1.3..3.2).contains(&(two / one)) && (2.0..4.6).contains(&(three / one)), "{counts:?}");
}

#[test]
fn registers_again_when_forgotten_and_deregisters_at_shutdown() {
    let consul = Consul::start();
    consul.set_service(11, "loan-server", Vec::new());
    consul.set_service(11, "paper-server", Vec::new());
    let folder = folder("register");
    let address = format!("address = \"{}\"", consul.open().address);
    let register =
        "[register]\nname = \"gatekeeper\"\nid = \"gk-1\"\naddress = \"127.0.0.1:9999\"\nttl_ms = 1000";
    let path = folder.write("a.toml", &file(&address, register, WIDE));
    let mut program = Program::start(&["serve", &path], &[]);
    program.logged("service registered id=gk-1");
    let passed =
        || consul.update(|s| s.registrations.get("gk-1").map(|r| (r.name.clone(), r.port, r.passed_checks)));
    let until = Instant::now() + TIMEOUT;
    while passed().is_none_or(|r| r.2 < 3) {
        assert!(Instant::now() < until, "{:?}", passed());
        std::thread::yield_now();
    }
    assert_eq!(passed().map(|r| (r.0, r.1)), Some(("gatekeeper".into(), 9999)));
    consul.update(|s| s.registrations.clear());
    program.logged("service registration lost, registering again id=gk-1");
    program.logged("service registered id=gk-1");
    program.terminate();
    program.logged("service deregistered id=gk-1");
    assert_eq!(program.wait(), Some(0));
    assert_eq!(passed(), None);
}

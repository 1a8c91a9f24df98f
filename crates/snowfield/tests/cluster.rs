//! Shared duties and probes in the real program, with stand-ins for Consul, the destinations and the duties' target. The
//! long form is `make proof-periodic-jobs`.

mod common;

use common::*;
use stand_in_consul::{Consul, Fault, Service};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const LOANS: &str = r#"{"openapi":"3.0.3","info":{"title":"L","version":"1"},
  "paths":{"/loans":{"get":{"x-snowfield-units":1,"x-snowfield-class":"lookup","responses":{}}}}}"#;

fn file(consul: SocketAddr, rest: &str) -> String {
    format!(
        "listen = \"127.0.0.1:0\"\nstatus = \"{}\"\ndescriptions = [\"loans.json\"]\nlender_header = \"X-Lender\"\n\
         [consul]\naddress = \"{consul}\"\nservice = \"loan-server\"\n\
         [[class]]\nname = \"lookup\"\nrepeat = \"safe\"\nwanted_ms = 300\ndeadline_ms = 2500\n\
         [[plan]]\nname = \"basic\"\nunits_per_second = 100000.0\nburst = 400000.0\n\
         [[lender]]\nname = \"al-noor\"\nplan = \"basic\"\n{rest}",
        unused_address()
    )
}

fn cluster(name: &str, listen: SocketAddr, peers: &[SocketAddr]) -> String {
    let peers: Vec<String> = peers.iter().map(|p| format!("\"{p}\"")).collect();
    format!(
        "[cluster]\nname = \"{name}\"\nlisten = \"{listen}\"\npeers = [{}]\nkey_file = \"cluster.key\"\nstandbys = 3\n\
         skew_ms = 50\nstore_timeout_ms = 100\ngossip_ms = 50\nsuspect_ms = 300\n",
        peers.join(", ")
    )
}

fn duties(names: &[String], target: SocketAddr, period: u64) -> String {
    let duty =
        |n: &String| format!("[[duty]]\nname = \"{n}\"\nperiod_ms = {period}\nurl = \"http://{target}/\"\n");
    names.iter().map(duty).collect()
}

fn udp_ports(count: usize) -> Vec<SocketAddr> {
    let held: Vec<UdpSocket> =
        (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a free port")).collect();
    held.iter().map(|s| s.local_addr().expect("an address")).collect()
}

fn folder(test: &str) -> TestDirectory {
    let folder = TestDirectory::new(test);
    folder.write("loans.json", LOANS);
    folder.write("cluster.key", KEY);
    folder
}

fn ok() -> Behaviour {
    Behaviour::Reply(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec())
}

/// A destination whose `/health` fails when told to.
fn loan_server() -> (SocketAddr, Receiver<BackendEvent<Message>>, Arc<AtomicBool>) {
    let well = Arc::new(AtomicBool::new(true));
    let shown = well.clone();
    let (at, seen) = backend(message, move |request| {
        if request.target() == "/health" && !shown.load(Ordering::Relaxed) {
            Behaviour::Reply(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".to_vec())
        } else {
            ok()
        }
    });
    (at, seen, well)
}

fn service(i: usize, address: SocketAddr) -> Service {
    Service::new(&format!("loans-{i}"), address)
}

fn ask(at: SocketAddr) -> u16 {
    let request = "GET /loans HTTP/1.1\r\nHost: a\r\nX-Lender: al-noor\r\n\r\n";
    Client::connect(at).ask(request).status()
}

const PROBE: &str =
    "[probe]\npath = \"/health\"\nperiod_ms = 100\ntimeout_ms = 80\ndown_after = 2\nmost_out = 0.34\n";

/// The bound of the brief: nothing new later than 1 s after the verdict, here by the log line of it.
#[test]
fn an_unhealthy_backend_gets_no_requests_and_no_more_than_the_share_is_ejected() {
    let servers: Vec<_> = (0..3).map(|_| loan_server()).collect();
    let consul = Consul::start();
    consul.set_service(11, "loan-server", servers.iter().enumerate().map(|(i, s)| service(i, s.0)).collect());
    let folder = folder("probes");
    let path = folder.write("a.toml", &file(consul.open().address, PROBE));
    let program = Program::start(&["serve", &path], &[]);
    let listen: SocketAddr = program.logged("serving OpenAPI on ").parse().expect("an address");
    program.logged("eligible_count=3");
    // Several at a time, so that all destinations have work.
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..6)
        .map(|_| {
            let over = over.clone();
            std::thread::spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    assert_eq!(ask(listen), 200);
                }
            })
        })
        .collect();
    let loans = |i: usize| all_requests(&servers[i].1).iter().filter(|m| m.target() == "/loans").count();
    let gets_work = |i: usize| {
        let until = Instant::now() + TIMEOUT;
        while loans(i) == 0 {
            assert!(Instant::now() < until, "destination {i} gets no work");
            std::thread::yield_now();
        }
    };
    (0..3).for_each(gets_work);
    servers[1].2.store(false, Ordering::Relaxed);
    program.logged("health check failing backend=a/loans-1 reason=\"status 503\"");
    program.logged("ejected backends changed count=1 listed=3 backends=a/loans-1");
    // The list reaches the destination side in moments; the rule gives it a second.
    let told = Instant::now();
    while told.elapsed() < Duration::from_secs(1) {
        gets_work(0);
    }
    loans(1);
    (0..20).for_each(|_| gets_work(2));
    assert_eq!(loans(1), 0, "it is out");
    // A second one fails: a third of three is one, so it stays in use.
    servers[0].2.store(false, Ordering::Relaxed);
    program.logged("health check failing backend=a/loans-0");
    loans(0);
    gets_work(0);
    servers[1].2.store(true, Ordering::Relaxed);
    program.logged("health check recovered backend=a/loans-1");
    gets_work(1);
    over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("each was served"));
}

/// Runs by duty and round, from what the target has seen since the last look.
fn runs(seen: &Receiver<BackendEvent<Message>>, into: &mut BTreeMap<(String, u64), Vec<String>>) {
    for call in all_requests(seen) {
        let field = |name: &str| call.field(name).expect("the field").to_owned();
        let key = (field("snowfield-duty"), field("snowfield-round").parse().expect("a number"));
        into.entry(key).or_default().push(field("snowfield-by"));
    }
}

#[test]
fn each_job_runs_once_a_period_through_a_death_a_pause_and_an_emptied_store() {
    const PERIOD: u64 = 300;
    let (target, seen) = backend(message, |_| ok());
    let consul = Consul::start();
    let (ports, folder) = (udp_ports(3), folder("duties"));
    let names: Vec<String> = (0..12).map(|i| format!("d{i}")).collect();
    let doors: Vec<_> = (0..3).map(|_| consul.open()).collect();
    let start = |i: usize| {
        let rest = cluster(&format!("m{i}"), ports[i], &ports) + &duties(&names, target, PERIOD);
        Program::start(&["serve", &folder.write(&format!("m{i}.toml"), &file(doors[i].address, &rest))], &[])
    };
    let mut programs: Vec<Program> = (0..3).map(start).collect();
    for program in &programs {
        program.logged("members alive count=3 names=\"m0 m1 m2\"");
    }
    let mut all = BTreeMap::new();
    // Waits until every duty has run so many more rounds.
    let mut rounds = |count: usize| {
        let until = Instant::now() + TIMEOUT;
        let mut since = BTreeMap::new();
        while names.iter().any(|n| since.keys().filter(|(d, _): &&(String, u64)| d == n).count() < count) {
            assert!(Instant::now() < until, "{count} rounds in time: {since:?}");
            if let Ok(first) = seen.recv_timeout(TIMEOUT) {
                let (tell, told) = std::sync::mpsc::channel();
                tell.send(first).expect("it is held here");
                runs(&told, &mut since);
                runs(&seen, &mut since);
            }
        }
        for (key, by) in since {
            all.entry(key).or_insert_with(Vec::new).extend(by);
        }
    };
    rounds(3);
    // One dies.
    programs.remove(0);
    rounds(5);
    // One pauses for several periods, while the other takes over, and continues.
    programs[0].suspend();
    rounds(5);
    programs[0].signal("-CONT");
    rounds(3);
    // The store falls silent and comes back empty.
    doors.iter().for_each(|door| door.fail(Fault::Silent));
    programs[0].logged("lease store unreachable, no job runs");
    consul.restart_empty();
    doors.iter().for_each(|door| door.fail(Fault::None));
    programs[0].logged("leases invalidated, reading them again");
    rounds(4);
    // Answers to claims are lost after they were applied.
    doors.iter().for_each(|door| door.fail_writes(Fault::ResponseLost, 4));
    rounds(3);
    // One leaves: the other is told, and does it all.
    programs[1].terminate();
    programs[0].logged("members alive count=1 names=m1");
    rounds(2);
    assert_eq!(programs[1].wait(), Some(0));
    let doubles: Vec<_> = all.iter().filter(|(_, by)| by.len() > 1).collect();
    assert!(doubles.is_empty(), "{doubles:?}");
    assert!(all.len() > 12 * 20, "{} runs", all.len());
}

#[test]
fn health_status_reaches_the_instances_that_do_not_check() {
    let server = loan_server();
    let other = loan_server();
    let third = loan_server();
    let consul = Consul::start();
    let at = [server.0, other.0, third.0];
    consul.set_service(11, "loan-server", at.iter().enumerate().map(|(i, at)| service(i, *at)).collect());
    let (ports, folder, door) = (udp_ports(3), folder("spread"), consul.open());
    let start = |i: usize| {
        let probe = PROBE.replace("period_ms = 100", "period_ms = 250");
        let rest = cluster(&format!("m{i}"), ports[i], &ports) + &probe;
        Program::start(&["serve", &folder.write(&format!("m{i}.toml"), &file(door.address, &rest))], &[])
    };
    let programs: Vec<Program> = (0..3).map(start).collect();
    for program in &programs {
        program.logged("members alive count=3");
    }
    server.2.store(false, Ordering::Relaxed);
    for program in &programs {
        program.logged("ejected backends changed count=1 listed=3 backends=a/loans-0");
    }
    server.2.store(true, Ordering::Relaxed);
    for program in &programs {
        program.logged("ejected backends changed count=0 listed=3");
    }
}

#[test]
fn a_reload_takes_jobs_and_keys_and_a_bad_file_changes_nothing() {
    let (target, seen) = backend(message, |_| ok());
    let consul = Consul::start();
    let (ports, folder, door) = (udp_ports(2), folder("reload"), consul.open());
    let write = |names: &[&str]| {
        let names: Vec<String> = names.iter().map(|n| (*n).to_owned()).collect();
        let rest = cluster("m0", ports[0], &ports) + &duties(&names, target, 200);
        folder.write("m0.toml", &file(door.address, &rest))
    };
    let mut program = Program::start(&["serve", &write(&["old"])], &[]);
    assert_eq!(next_request(&seen).field("snowfield-duty"), Some("old"));
    write(&["new", "new"]);
    program.signal("-HUP");
    let error = program.logged("reload failed, previous configuration kept in force");
    assert!(error.contains("\\\"new\\\" comes twice"), "{error}");
    write(&["new"]);
    // Both keys for a while; this one seals by the new one.
    folder.write("cluster.key", &format!("{}\n{KEY}\n", "ab".repeat(32)));
    program.signal("-HUP");
    program.logged("configuration reloaded, other changes need a restart jobs=1 keys=true");
    while next_request(&seen).field("snowfield-duty") != Some("new") {}
    // Another instance that has the old key alone: heard, but not understood in return.
    folder.write("old.key", KEY);
    let rest = cluster("m1", ports[1], &ports).replace("cluster.key", "old.key");
    let other = Program::start(&["serve", &folder.write("m1.toml", &file(door.address, &rest))], &[]);
    other.logged("datagram dropped, message authentication failed");
    let (succeeded, status) = run(&["status", &write(&["new"])], &[]);
    assert!(!succeeded, "its status listens where the first file said: {status}");
    program.terminate();
    assert_eq!(program.wait(), Some(0));
}

#[test]
fn the_status_shows_members_jobs_and_health() {
    let server = loan_server();
    let (target, seen) = backend(message, |_| ok());
    let consul = Consul::start();
    consul.set_service(11, "loan-server", vec![service(0, server.0)]);
    let (ports, folder, door) = (udp_ports(1), folder("status"), consul.open());
    let probe = PROBE.replace("period_ms = 100", "period_ms = 250");
    let rest = cluster("m0", ports[0], &[]) + &probe + &duties(&["bell".to_owned()], target, 200);
    let path = folder.write("m0.toml", &file(door.address, &rest));
    let program = Program::start(&["serve", &path], &[]);
    program.logged("serving OpenAPI on ");
    next_request(&seen);
    // Each message is looked at: one that was taken and dropped could be the only kind that comes.
    while next_request(&server.1).target() != "/health" {}
    let until = Instant::now() + TIMEOUT;
    loop {
        let (succeeded, status) = run(&["status", &path], &[]);
        assert!(succeeded, "{status}");
        let lines = [
            "m0  this instance",
            "call/bell  every 200 ms  owner m0  last round ",
            "a/loans-0  well",
            "answers",
        ];
        if lines.iter().all(|line| status.contains(line)) {
            break;
        }
        assert!(Instant::now() < until, "{status}");
    }
}

#[test]
fn an_unusable_file_is_rejected_with_its_reason() {
    let folder = folder("refused");
    let at = unused_address();
    let good = cluster("m0", at, &[at]);
    let (one, two) = (duties(&["d".into()], at, 300), duties(&["d".into(), "d".into()], at, 300));
    for (rest, reason) in [
        (good.replace("\"m0\"", "\"a b\""), "cluster.name is \"a b\""),
        (good.replace(&format!("listen = \"{at}\""), "listen = \"10.0.0.1:7946\""), "not on loopback"),
        (
            good.replace(&format!("listen = \"{at}\""), "listen = \"127.0.0.1:0\""),
            "cluster.listen: port 0 cannot be told",
        ),
        (good.clone() + "prefix = \"/x\"\n", "cluster.prefix is \"/x\""),
        (good.replace("gossip_ms = 50", "gossip_ms = 1"), "cluster.gossip_ms is 1, but must be 10"),
        (
            good.replace("suspect_ms = 300", "suspect_ms = 60"),
            "cluster.suspect_ms is 60, but must be 100 at least",
        ),
        (good.replace("standbys = 3", "standbys = 16"), "cluster.standbys is 16, but must be 0 to 15"),
        (good.replace("cluster.key", "missing.key"), "missing.key"),
        (
            good.replace("store_timeout_ms = 100", "store_timeout_ms = 200") + &one,
            "more than half of the shortest period, 300",
        ),
        (two, "\"d\" comes twice"),
        (one.replace("300", "50"), "period_ms is 50, but must be 100"),
        (one.replace("http://", "https://"), "but must be http://"),
        (one.replace("127.0.0.1", "192.0.2.1"), "on loopback"),
        (PROBE.replace("/health", "health"), "probe.path is \"health\""),
        (
            PROBE.replace("timeout_ms = 80", "timeout_ms = 101"),
            "probe.timeout_ms is 101, but must be 1 to 100",
        ),
        (PROBE.replace("down_after = 2", "down_after = 0"), "down_after"),
        (PROBE.replace("0.34", "1.0"), "may never take out all"),
        (PROBE.replace("0.34", "nan"), "may never take out all"),
    ] {
        // `serve` also looks at what lies beside the file; it must end by itself.
        let (succeeded, said) = run(&["serve", &folder.write("a.toml", &file(at, &rest))], &[]);
        assert!(!succeeded && said.contains(reason), "{reason}: {said}");
    }
}

/// Guards installations with access lists: claims bring the token, and a token that is changed is used without a restart.
#[test]
fn lease_calls_use_the_current_token() {
    let (target, runs) = backend(message, |_| ok());
    let (store, catalogue) = (Consul::start(), Consul::start());
    store.update(|s| s.token = Some("secret-1".into()));
    let folder = folder("claim-token");
    folder.write("claims.token", "secret-0\n");
    let own = cluster("a", udp_ports(1)[0], &[]);
    let own = format!("{own}store = \"{}\"\nstore_token_file = \"claims.token\"\n", store.open().address);
    let rest = own + &duties(&["nightly".into()], target, 200);
    let path = folder.write("a.toml", &file(catalogue.open().address, &rest));
    let program = Program::start(&["serve", &path], &[]);
    program.logged("serving OpenAPI on ");
    program.logged("403");
    assert_eq!(all_requests(&runs).len(), 0, "no claim, no run");
    folder.write("claims.token", "secret-1\n");
    next_request(&runs);
    store.update(|s| s.token = Some("secret-2".into()));
    folder.write("claims.token", "secret-2\n");
    all_requests(&runs);
    (0..3).for_each(|_| drop(next_request(&runs)));
}

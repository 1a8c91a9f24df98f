//! Periodic jobs and health checks in the real program, with stand-ins for Consul, the backends and the target of the jobs.
//! `make proof-periodic-jobs` tests them at length.

mod common;

use common::*;
use stand_in_consul::{Consul, Fault, Service};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// The gossip key.
const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const LOANS: &str = r#"{"openapi":"3.0.3","info":{"title":"L","version":"1"},
  "paths":{"/loans":{"get":{"x-snowfield-units":1,"x-snowfield-class":"lookup","responses":{}}}}}"#;

/// The text of a settings file with these further tables.
fn settings_file(consul: SocketAddr, further_tables: &str) -> String {
    format!(
        "listen = \"127.0.0.1:0\"\nstatus = \"{}\"\ndescriptions = [\"loans.json\"]\nlender_header = \"X-Lender\"\n\
         [consul]\naddress = \"{consul}\"\nservice = \"loan-server\"\n\
         [[class]]\nname = \"lookup\"\nrepeat = \"safe\"\nwanted_ms = 300\ndeadline_ms = 2500\n\
         [[plan]]\nname = \"basic\"\nunits_per_second = 100000.0\nburst = 400000.0\n\
         [[lender]]\nname = \"al-noor\"\nplan = \"basic\"\n{further_tables}",
        unused_address()
    )
}

/// The `[cluster]` table.
fn cluster_table(name: &str, listen: SocketAddr, peers: &[SocketAddr]) -> String {
    let peers: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    format!(
        "[cluster]\nname = \"{name}\"\nlisten = \"{listen}\"\npeers = [{}]\nkey_file = \"cluster.key\"\nstandbys = 3\n\
         skew_ms = 50\nstore_timeout_ms = 100\ngossip_ms = 50\nsuspect_ms = 300\n",
        peers.join(", ")
    )
}

/// A `[[duty]]` table per job.
fn job_tables(names: &[String], target: SocketAddr, period_ms: u64) -> String {
    let job_table = |name: &String| {
        format!("[[duty]]\nname = \"{name}\"\nperiod_ms = {period_ms}\nurl = \"http://{target}/\"\n")
    };
    names.iter().map(job_table).collect()
}

/// Addresses for UDP sockets that no other test gets.
fn free_udp_addresses(count: usize) -> Vec<SocketAddr> {
    (0..count).map(|_| unused_address()).collect()
}

/// A directory with the API description and the gossip key.
fn test_directory(test: &str) -> TestDirectory {
    let directory = TestDirectory::new(test);
    directory.write("loans.json", LOANS);
    directory.write("cluster.key", KEY);
    directory
}

fn ok_reply() -> Behaviour {
    Behaviour::Reply(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec())
}

/// A backend that passes or fails its health checks.
struct LoanServer {
    address: SocketAddr,
    events: Receiver<BackendEvent<Message>>,
    healthy: Arc<AtomicBool>,
}

impl LoanServer {
    fn start() -> Self {
        let healthy = Arc::new(AtomicBool::new(true));
        let is_healthy = healthy.clone();
        let (address, events) = start_backend(read_message, move |request| {
            if request.target() == "/health" && !is_healthy.load(Ordering::Relaxed) {
                Behaviour::Reply(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".to_vec())
            } else {
                ok_reply()
            }
        });
        Self { address, events, healthy }
    }

    fn set_healthy(&self, healthy: bool) {
        self.healthy.store(healthy, Ordering::Relaxed);
    }

    /// Takes the requests for loans since the last call and returns their number.
    fn take_loan_requests(&self) -> usize {
        all_requests(&self.events).iter().filter(|request| request.target() == "/loans").count()
    }

    /// Waits for a request for loans.
    fn wait_for_loan_request(&self) {
        let deadline = Instant::now() + TIMEOUT;
        while self.take_loan_requests() == 0 {
            assert!(Instant::now() < deadline, "backend {} gets no request", self.address);
            std::thread::yield_now();
        }
    }
}

/// The services of these backends in Consul.
fn services(servers: &[LoanServer]) -> Vec<Service> {
    let service = |(i, server): (usize, &LoanServer)| Service::new(&format!("loans-{i}"), server.address);
    servers.iter().enumerate().map(service).collect()
}

/// Requests a loan. Returns the status of the response.
fn request_loan(address: SocketAddr) -> u16 {
    let request = "GET /loans HTTP/1.1\r\nHost: a\r\nX-Lender: al-noor\r\n\r\n";
    Client::connect(address).request(request).status()
}

const HEALTH_CHECK_TABLE: &str =
    "[probe]\npath = \"/health\"\nperiod_ms = 100\ntimeout_ms = 80\ndown_after = 2\nmost_out = 0.34\n";

/// Guards the limit on the delay of an ejection: the backend gets no new requests later than 1 s after the ejection is logged.
#[test]
fn an_unhealthy_backend_gets_no_requests_and_ejections_are_limited_to_a_fraction() {
    let servers: Vec<LoanServer> = (0..3).map(|_| LoanServer::start()).collect();
    let consul = Consul::start();
    consul.set_service(11, "loan-server", services(&servers));
    let directory = test_directory("probes");
    let path = directory.write("a.toml", &settings_file(consul.open().address, HEALTH_CHECK_TABLE));
    let program = Program::start(&["serve", &path], &[]);
    let listen: SocketAddr =
        program.wait_for_log("serving OpenAPI on ").parse().expect("a valid socket address");
    program.wait_for_log("eligible_count=3");
    // Several concurrent clients, so that all backends get requests.
    let stop = Arc::new(AtomicBool::new(false));
    let start_client = |_| {
        let stop = stop.clone();
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                assert_eq!(request_loan(listen), 200);
            }
        })
    };
    let clients: Vec<_> = (0..6).map(start_client).collect();
    servers.iter().for_each(LoanServer::wait_for_loan_request);
    servers[1].set_healthy(false);
    program.wait_for_log("health check failing backend=a/loans-1 reason=\"status 503\"");
    program.wait_for_log("ejected backends changed count=1 listed=3 backends=a/loans-1");
    let ejected_at = Instant::now();
    while ejected_at.elapsed() < Duration::from_secs(1) {
        servers[0].wait_for_loan_request();
    }
    servers[1].take_loan_requests();
    (0..20).for_each(|_| servers[2].wait_for_loan_request());
    assert_eq!(servers[1].take_loan_requests(), 0, "an ejected backend gets no requests");
    // A second backend fails. At most one of three may be ejected, so this one stays in use.
    servers[0].set_healthy(false);
    program.wait_for_log("health check failing backend=a/loans-0");
    servers[0].take_loan_requests();
    servers[0].wait_for_loan_request();
    servers[1].set_healthy(true);
    program.wait_for_log("health check recovered backend=a/loans-1");
    servers[1].wait_for_loan_request();
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("all requests succeeded"));
}

/// A run of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Run {
    job: String,
    id: u64,
}

/// For each run, the names of the instances that started it.
type Starts = BTreeMap<Run, Vec<String>>;

/// Adds the runs that the target has received since the last call.
fn collect_runs(events: &Receiver<BackendEvent<Message>>, starts: &mut Starts) {
    for request in all_requests(events) {
        let field = |name: &str| request.field(name).expect("a job request has the field").to_owned();
        let id = field("snowfield-round").parse().expect("the id of a run is a number");
        let run = Run { job: field("snowfield-duty"), id };
        starts.entry(run).or_default().push(field("snowfield-by"));
    }
}

#[test]
fn each_run_starts_once_despite_killed_and_paused_instances_and_data_loss_of_the_store() {
    const PERIOD_MS: u64 = 300;
    let (target, events) = start_backend(read_message, |_| ok_reply());
    let consul = Consul::start();
    let gossip_addresses = free_udp_addresses(3);
    let directory = test_directory("duties");
    let names: Vec<String> = (0..12).map(|i| format!("d{i}")).collect();
    let store_listeners: Vec<_> = (0..3).map(|_| consul.open()).collect();
    let start = |i: usize| {
        let cluster = cluster_table(&format!("m{i}"), gossip_addresses[i], &gossip_addresses);
        let tables = cluster + &job_tables(&names, target, PERIOD_MS);
        let file = settings_file(store_listeners[i].address, &tables);
        Program::start(&["serve", &directory.write(&format!("m{i}.toml"), &file)], &[])
    };
    let mut programs: Vec<Program> = (0..3).map(start).collect();
    for program in &programs {
        program.wait_for_log("members alive count=3 names=\"m0 m1 m2\"");
    }
    let mut all_starts = Starts::new();
    let mut wait_for_runs_of_each_job = |count: usize| {
        let deadline = Instant::now() + TIMEOUT;
        let mut starts = Starts::new();
        let runs_of = |starts: &Starts, name: &String| starts.keys().filter(|run| run.job == *name).count();
        while names.iter().any(|name| runs_of(&starts, name) < count) {
            assert!(Instant::now() < deadline, "each job has {count} runs in time: {starts:?}");
            if let Ok(event) = events.recv_timeout(TIMEOUT) {
                let (sender, received_event) = std::sync::mpsc::channel();
                sender.send(event).expect("the receiver exists");
                collect_runs(&received_event, &mut starts);
                collect_runs(&events, &mut starts);
            }
        }
        for (run, instances) in starts {
            all_starts.entry(run).or_default().extend(instances);
        }
    };
    wait_for_runs_of_each_job(3);
    // One instance is killed.
    programs.remove(0);
    wait_for_runs_of_each_job(5);
    // One instance is paused for several periods, while the other takes over, and resumes.
    programs[0].suspend();
    wait_for_runs_of_each_job(5);
    programs[0].signal("-CONT");
    wait_for_runs_of_each_job(3);
    // The store becomes unresponsive and restarts without data.
    store_listeners.iter().for_each(|listener| listener.fail(Fault::Silent));
    programs[0].wait_for_log("lease store unreachable, no job runs");
    consul.restart_empty();
    store_listeners.iter().for_each(|listener| listener.fail(Fault::None));
    programs[0].wait_for_log("leases invalidated, reading them again");
    wait_for_runs_of_each_job(4);
    // Responses to writes that were applied are lost.
    store_listeners.iter().for_each(|listener| listener.fail_writes(Fault::ResponseLost, 4));
    wait_for_runs_of_each_job(3);
    // One instance leaves, and the other takes over all jobs.
    programs[1].terminate();
    programs[0].wait_for_log("members alive count=1 names=m1");
    wait_for_runs_of_each_job(2);
    assert_eq!(programs[1].wait(), Some(0));
    let repeated: Vec<_> = all_starts.iter().filter(|(_, instances)| instances.len() > 1).collect();
    assert!(repeated.is_empty(), "{repeated:?}");
    assert!(all_starts.len() > 12 * 20, "only {} runs", all_starts.len());
}

#[test]
fn the_health_status_reaches_instances_that_do_not_check_the_backend() {
    let servers: Vec<LoanServer> = (0..3).map(|_| LoanServer::start()).collect();
    let consul = Consul::start();
    consul.set_service(11, "loan-server", services(&servers));
    let gossip_addresses = free_udp_addresses(3);
    let directory = test_directory("spread");
    let store = consul.open().address;
    let start = |i: usize| {
        let health_checks = HEALTH_CHECK_TABLE.replace("period_ms = 100", "period_ms = 250");
        let tables = cluster_table(&format!("m{i}"), gossip_addresses[i], &gossip_addresses) + &health_checks;
        let file = settings_file(store, &tables);
        Program::start(&["serve", &directory.write(&format!("m{i}.toml"), &file)], &[])
    };
    let programs: Vec<Program> = (0..3).map(start).collect();
    for program in &programs {
        program.wait_for_log("members alive count=3");
    }
    servers[0].set_healthy(false);
    for program in &programs {
        program.wait_for_log("ejected backends changed count=1 listed=3 backends=a/loans-0");
    }
    servers[0].set_healthy(true);
    for program in &programs {
        program.wait_for_log("ejected backends changed count=0 listed=3");
    }
}

#[test]
fn a_reload_applies_jobs_and_keys_and_an_invalid_file_changes_nothing() {
    let (target, events) = start_backend(read_message, |_| ok_reply());
    let consul = Consul::start();
    let gossip_addresses = free_udp_addresses(2);
    let directory = test_directory("reload");
    let store = consul.open().address;
    let write_jobs = |names: &[&str]| {
        let names: Vec<String> = names.iter().map(|name| (*name).to_owned()).collect();
        let cluster = cluster_table("m0", gossip_addresses[0], &gossip_addresses);
        let tables = cluster + &job_tables(&names, target, 200);
        directory.write("m0.toml", &settings_file(store, &tables))
    };
    let mut program = Program::start(&["serve", &write_jobs(&["old"])], &[]);
    assert_eq!(next_request(&events).field("snowfield-duty"), Some("old"));
    write_jobs(&["new", "new"]);
    program.signal("-HUP");
    let error = program.wait_for_log("reload failed, previous configuration kept in force");
    assert!(error.contains("\\\"new\\\" comes twice"), "{error}");
    write_jobs(&["new"]);
    // A key rotation in progress: this instance signs with the new key and accepts both keys.
    directory.write("cluster.key", &format!("{}\n{KEY}\n", "ab".repeat(32)));
    program.signal("-HUP");
    program.wait_for_log("configuration reloaded, other changes need a restart jobs=1 keys=true");
    while next_request(&events).field("snowfield-duty") != Some("new") {}
    // Another instance that only has the old key rejects the datagrams of this one.
    directory.write("old.key", KEY);
    let cluster =
        cluster_table("m1", gossip_addresses[1], &gossip_addresses).replace("cluster.key", "old.key");
    let file = settings_file(store, &cluster);
    let other = Program::start(&["serve", &directory.write("m1.toml", &file)], &[]);
    other.wait_for_log("datagram dropped, message authentication failed");
    let (succeeded, status) = run(&["status", &write_jobs(&["new"])], &[]);
    assert!(!succeeded, "the status address of the changed file applies only after a restart: {status}");
    program.terminate();
    assert_eq!(program.wait(), Some(0));
}

#[test]
fn the_status_shows_members_jobs_and_health() {
    let servers = [LoanServer::start()];
    let (target, events) = start_backend(read_message, |_| ok_reply());
    let consul = Consul::start();
    consul.set_service(11, "loan-server", services(&servers));
    let directory = test_directory("status");
    let health_checks = HEALTH_CHECK_TABLE.replace("period_ms = 100", "period_ms = 250");
    let jobs = job_tables(&["bell".to_owned()], target, 200);
    let tables = cluster_table("m0", free_udp_addresses(1)[0], &[]) + &health_checks + &jobs;
    let path = directory.write("m0.toml", &settings_file(consul.open().address, &tables));
    let program = Program::start(&["serve", &path], &[]);
    program.wait_for_log("serving OpenAPI on ");
    next_request(&events);
    while next_request(&servers[0].events).target() != "/health" {}
    let deadline = Instant::now() + TIMEOUT;
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
        assert!(Instant::now() < deadline, "{status}");
    }
}

#[test]
fn an_invalid_settings_file_is_rejected_with_the_reason() {
    let directory = test_directory("refused");
    let address = unused_address();
    let cluster = cluster_table("m0", address, &[address]);
    let one_job = job_tables(&["d".into()], address, 300);
    let two_equal_jobs = job_tables(&["d".into(), "d".into()], address, 300);
    for (tables, reason) in [
        (cluster.replace("\"m0\"", "\"a b\""), "cluster.name is \"a b\""),
        (
            cluster.replace(&format!("listen = \"{address}\""), "listen = \"10.0.0.1:7946\""),
            "not on loopback",
        ),
        (
            cluster.replace(&format!("listen = \"{address}\""), "listen = \"127.0.0.1:0\""),
            "cluster.listen: port 0 cannot be told",
        ),
        (cluster.clone() + "prefix = \"/x\"\n", "cluster.prefix is \"/x\""),
        (cluster.replace("gossip_ms = 50", "gossip_ms = 1"), "cluster.gossip_ms is 1, but must be 10"),
        (
            cluster.replace("suspect_ms = 300", "suspect_ms = 60"),
            "cluster.suspect_ms is 60, but must be 100 at least",
        ),
        (cluster.replace("standbys = 3", "standbys = 16"), "cluster.standbys is 16, but must be 0 to 15"),
        (cluster.replace("cluster.key", "missing.key"), "missing.key"),
        (
            cluster.replace("store_timeout_ms = 100", "store_timeout_ms = 200") + &one_job,
            "more than half of the shortest period, 300",
        ),
        (two_equal_jobs, "\"d\" comes twice"),
        (one_job.replace("300", "50"), "period_ms is 50, but must be 100"),
        (one_job.replace("http://", "https://"), "but must be http://"),
        (one_job.replace(&address.ip().to_string(), "192.0.2.1"), "on loopback"),
        (HEALTH_CHECK_TABLE.replace("/health", "health"), "probe.path is \"health\""),
        (
            HEALTH_CHECK_TABLE.replace("timeout_ms = 80", "timeout_ms = 101"),
            "probe.timeout_ms is 101, but must be 1 to 100",
        ),
        (HEALTH_CHECK_TABLE.replace("down_after = 2", "down_after = 0"), "down_after"),
        (HEALTH_CHECK_TABLE.replace("0.34", "1.0"), "may never take out all"),
        (HEALTH_CHECK_TABLE.replace("0.34", "nan"), "may never take out all"),
    ] {
        // `serve` also checks the files that the settings refer to. It must exit without a signal.
        let (succeeded, output) =
            run(&["serve", &directory.write("a.toml", &settings_file(address, &tables))], &[]);
        assert!(!succeeded && output.contains(reason), "{reason}: {output}");
    }
}

/// With ACLs in the lease store, calls must carry the token, and a changed token must apply without a restart.
#[test]
fn calls_to_the_lease_store_use_the_current_token() {
    let (target, events) = start_backend(read_message, |_| ok_reply());
    let (store, catalogue) = (Consul::start(), Consul::start());
    store.update(|state| state.token = Some("secret-1".into()));
    let directory = test_directory("claim-token");
    directory.write("claims.token", "secret-0\n");
    let cluster = cluster_table("a", free_udp_addresses(1)[0], &[]);
    let store_address = store.open().address;
    let cluster = format!("{cluster}store = \"{store_address}\"\nstore_token_file = \"claims.token\"\n");
    let tables = cluster + &job_tables(&["nightly".into()], target, 200);
    let path = directory.write("a.toml", &settings_file(catalogue.open().address, &tables));
    let program = Program::start(&["serve", &path], &[]);
    program.wait_for_log("serving OpenAPI on ");
    program.wait_for_log("403");
    assert_eq!(all_requests(&events).len(), 0, "no job runs without a lease");
    directory.write("claims.token", "secret-1\n");
    next_request(&events);
    store.update(|state| state.token = Some("secret-2".into()));
    directory.write("claims.token", "secret-2\n");
    all_requests(&events);
    (0..3).for_each(|_| drop(next_request(&events)));
}

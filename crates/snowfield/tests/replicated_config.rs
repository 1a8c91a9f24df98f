//! Replicated plans on four gatekeeper processes, of which three are replicas, changed by the command line.
//! `make proof-replicated-config` tests them at length.

mod common;

use common::*;
use std::net::SocketAddr;

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const LOANS: &str = r#"{"openapi":"3.0.3","info":{"title":"L","version":"1"},
  "paths":{"/loans":{"get":{"x-snowfield-units":1,"x-snowfield-class":"lookup","responses":{}}}}}"#;

/// Logged by a gatekeeper that enforces a version and has no proposed version beside it.
const IN_FORCE: &str = "version in force";

/// Waits until a program logs this message about a version.
fn wait_for_version(program: &Program, message: &str, version: u64) {
    while program.wait_for_log_field(message, "version") != version.to_string() {}
}

/// Writes the configuration files of three replicas and of a fourth gatekeeper. Returns their paths.
fn write_configurations(directory: &TestDirectory) -> Vec<String> {
    directory.write("loans.json", LOANS);
    directory.write("cluster.key", KEY);
    let addresses: Vec<SocketAddr> = (0..8).map(|_| unused_address()).collect();
    let (gossip_addresses, replica_addresses) = addresses.split_at(4);
    let replicas: Vec<String> =
        (0..3).map(|i| format!("{{ name = \"m{i}\", address = \"{}\" }}", replica_addresses[i])).collect();
    (0..4)
        .map(|i| {
            let listen =
                if i < 3 { format!("listen = \"{}\"\n", replica_addresses[i]) } else { String::new() };
            let text = format!(
                "listen = \"127.0.0.1:0\"\ndescriptions = [\"loans.json\"]\nlender_header = \"X-Lender\"\n\
                 [consul]\naddress = \"127.0.0.1:1\"\nservice = \"loan-server\"\n\
                 [cluster]\nname = \"m{i}\"\nlisten = \"{}\"\nkey_file = \"cluster.key\"\n\
                 [agreed]\n{listen}voters = [{}]\nlog = \"m{i}.log\"\nlease_ms = 2000\n\
                 [[class]]\nname = \"lookup\"\nrepeat = \"safe\"\nwanted_ms = 300\ndeadline_ms = 1000\n\
                 [[plan]]\nname = \"basic\"\nunits_per_second = 20.0\nburst = 40.0\n\
                 [[lender]]\nname = \"al-noor\"\nplan = \"basic\"\n",
                gossip_addresses[i],
                replicas.join(", ")
            );
            directory.write(&format!("m{i}.toml"), &text)
        })
        .collect()
}

/// Starts a gatekeeper with this file.
fn start(file: &str) -> Program {
    Program::start(&["serve", file], &[])
}

#[test]
fn a_version_reaches_all_gatekeepers_survives_restarts_and_needs_a_majority() {
    let directory = TestDirectory::new("agreed");
    let files = write_configurations(&directory);
    let write_plan = |rate: f64| {
        directory.write(
            &format!("rules-{rate}.toml"),
            &format!("[[plan]]\nname = \"basic\"\nunits_per_second = {rate:?}\nburst = 40.0\n"),
        )
    };
    for file in &files[..3] {
        let (succeeded, output) = run(&["settings", "begin", file], &[]);
        assert!(succeeded, "{output}");
        assert!(!run(&["settings", "begin", file], &[]).0, "a log is created once");
    }
    assert!(!run(&["settings", "begin", &files[3]], &[]).0, "the fourth gatekeeper is no replica");
    let mut programs: Vec<Program> = files.iter().map(|file| start(file)).collect();
    for program in &programs {
        wait_for_version(program, IN_FORCE, 0);
    }
    let (succeeded, output) =
        run(&["settings", "propose", &files[3], &write_plan(10.0), "--expect", "0"], &[]);
    assert!(succeeded && output.starts_with("version 1 is proposed"), "{output}");
    for program in &programs {
        wait_for_version(program, IN_FORCE, 1);
    }
    // A proposal that expects another version is rejected, and so is one for an unknown plan.
    let (succeeded, output) =
        run(&["settings", "propose", &files[0], &write_plan(12.0), "--expect", "0"], &[]);
    assert!(!succeeded && output.contains("version 1, by"), "{output}");
    let unknown_plan =
        directory.write("bad.toml", "[[plan]]\nname = \"gold\"\nunits_per_second = 1.0\nburst = 1.0\n");
    let (succeeded, output) = run(&["settings", "propose", &files[0], &unknown_plan], &[]);
    assert!(!succeeded && output.contains("none of the file's"), "{output}");
    let (_, output) = run(&["settings", "diff", &files[2], &write_plan(5.0)], &[]);
    assert_eq!(output.trim(), "plan basic: units_per_second 10 -> 5");
    // All gatekeepers are killed and restarted from their disks.
    drop(std::mem::take(&mut programs));
    programs = files.iter().map(|file| start(file)).collect();
    for program in &programs {
        wait_for_version(program, IN_FORCE, 1);
    }
    // Two of three replicas have stopped. The remaining gatekeepers lose their leases and log it.
    drop(programs.drain(..2));
    for program in &programs {
        wait_for_version(program, "no lease, enforcing the when_apart share", 1);
    }
    let (succeeded, output) = run(&["settings", "propose", &files[3], &write_plan(12.0)], &[]);
    assert!(!succeeded && output.contains("no majority"), "{output}");
}

#[test]
fn a_replica_with_a_truncated_log_does_not_vote_but_applies_new_versions() {
    let directory = TestDirectory::new("agreed-cut");
    let files = write_configurations(&directory);
    for file in &files[..3] {
        assert!(run(&["settings", "begin", file], &[]).0);
    }
    let mut programs: Vec<Program> = files.iter().map(|file| start(file)).collect();
    wait_for_version(&programs[3], IN_FORCE, 0);
    drop(programs.remove(0));
    let log = directory.path().join("m0.log");
    let bytes = std::fs::read(&log).expect("the log exists");
    std::fs::write(&log, &bytes[..bytes.len() - 1]).expect("the log is truncated");
    let restarted = start(&files[0]);
    restarted.wait_for_log("replica log not usable, this replica does not vote");
    wait_for_version(&restarted, IN_FORCE, 0);
    let rules =
        directory.write("rules.toml", "[[plan]]\nname = \"basic\"\nunits_per_second = 9.0\nburst = 40.0\n");
    let (succeeded, output) = run(&["settings", "propose", &files[0], &rules], &[]);
    assert!(succeeded, "{output}");
    wait_for_version(&restarted, IN_FORCE, 1);
}

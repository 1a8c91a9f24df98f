//! Plans that three real programs agree on, changed by the command line. The long form is `make proof-replicated-config`.

mod common;

use common::*;
use std::net::SocketAddr;

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
const LOANS: &str = r#"{"openapi":"3.0.3","info":{"title":"L","version":"1"},
  "paths":{"/loans":{"get":{"x-snowfield-units":1,"x-snowfield-class":"lookup","responses":{}}}}}"#;

/// What a gatekeeper logs that enforces a version.
const IN_FORCE: &str = "version in force";

/// Waits until a program logs this message about a version.
fn wait_for_version(program: &Program, message: &str, version: u64) {
    while program.logged_field(message, "version") != version.to_string() {}
}

/// The files of three voters and of a fourth instance; what is reserved here is freed before a program takes it.
fn files(folder: &TestDirectory) -> Vec<String> {
    folder.write("loans.json", LOANS);
    folder.write("cluster.key", KEY);
    let ports: Vec<SocketAddr> = (0..8).map(|_| unused_address()).collect();
    let (gossip, words) = ports.split_at(4);
    let voters: Vec<String> =
        (0..3).map(|i| format!("{{ name = \"m{i}\", address = \"{}\" }}", words[i])).collect();
    (0..4)
        .map(|i| {
            let listen = if i < 3 { format!("listen = \"{}\"\n", words[i]) } else { String::new() };
            let text = format!(
                "listen = \"127.0.0.1:0\"\ndescriptions = [\"loans.json\"]\nlender_header = \"X-Lender\"\n\
                 [consul]\naddress = \"127.0.0.1:1\"\nservice = \"loan-server\"\n\
                 [cluster]\nname = \"m{i}\"\nlisten = \"{}\"\nkey_file = \"cluster.key\"\n\
                 [agreed]\n{listen}voters = [{}]\nlog = \"m{i}.log\"\nlease_ms = 2000\n\
                 [[class]]\nname = \"lookup\"\nrepeat = \"safe\"\nwanted_ms = 300\ndeadline_ms = 1000\n\
                 [[plan]]\nname = \"basic\"\nunits_per_second = 20.0\nburst = 40.0\n\
                 [[lender]]\nname = \"al-noor\"\nplan = \"basic\"\n",
                gossip[i],
                voters.join(", ")
            );
            folder.write(&format!("m{i}.toml"), &text)
        })
        .collect()
}

#[test]
fn a_version_reaches_all_instances_survives_restarts_and_needs_a_majority() {
    let folder = TestDirectory::new("agreed");
    let files = files(&folder);
    let rules = |rate: f64| {
        folder.write(
            &format!("rules-{rate}.toml"),
            &format!("[[plan]]\nname = \"basic\"\nunits_per_second = {rate:?}\nburst = 40.0\n"),
        )
    };
    for file in &files[..3] {
        let (fine, said) = run(&["settings", "begin", file], &[]);
        assert!(fine, "{said}");
        assert!(!run(&["settings", "begin", file], &[]).0, "once");
    }
    assert!(!run(&["settings", "begin", &files[3]], &[]).0, "it is no voter");
    let start = |file: &String| Program::start(&["serve", file], &[]);
    let mut programs: Vec<Program> = files.iter().map(start).collect();
    for program in &programs {
        wait_for_version(program, IN_FORCE, 0);
    }
    let (fine, said) = run(&["settings", "propose", &files[3], &rules(10.0), "--expect", "0"], &[]);
    assert!(fine && said.starts_with("version 1 is proposed"), "{said}");
    for program in &programs {
        wait_for_version(program, IN_FORCE, 1);
    }
    // What expects another version is refused, and so is what no file could say.
    let (fine, said) = run(&["settings", "propose", &files[0], &rules(12.0), "--expect", "0"], &[]);
    assert!(!fine && said.contains("version 1, by"), "{said}");
    let bad = folder.write("bad.toml", "[[plan]]\nname = \"gold\"\nunits_per_second = 1.0\nburst = 1.0\n");
    let (fine, said) = run(&["settings", "propose", &files[0], &bad], &[]);
    assert!(!fine && said.contains("none of the file's"), "{said}");
    let (_, said) = run(&["settings", "diff", &files[2], &rules(5.0)], &[]);
    assert_eq!(said.trim(), "plan basic: units_per_second 10 -> 5");
    // All killed and started again from what is on their disks.
    drop(std::mem::take(&mut programs));
    programs = files.iter().map(start).collect();
    for program in &programs {
        wait_for_version(program, IN_FORCE, 1);
    }
    // Two of three voters are gone: the last two programs are apart, and staff is told.
    drop(programs.drain(..2));
    for program in &programs {
        wait_for_version(program, "no lease, enforcing the when_apart share", 1);
    }
    let (fine, said) = run(&["settings", "propose", &files[3], &rules(12.0)], &[]);
    assert!(!fine && said.contains("no majority"), "{said}");
}

#[test]
fn a_replica_with_a_truncated_log_does_not_vote_and_follows() {
    let folder = TestDirectory::new("agreed-cut");
    let files = files(&folder);
    for file in &files[..3] {
        assert!(run(&["settings", "begin", file], &[]).0);
    }
    let start = |file: &String| Program::start(&["serve", file], &[]);
    let mut programs: Vec<Program> = files.iter().map(start).collect();
    wait_for_version(&programs[3], IN_FORCE, 0);
    drop(programs.remove(0));
    let log = folder.path().join("m0.log");
    let bytes = std::fs::read(&log).expect("a log");
    std::fs::write(&log, &bytes[..bytes.len() - 1]).expect("it is cut");
    let again = start(&files[0]);
    again.logged("replica log not usable, this replica does not vote");
    wait_for_version(&again, IN_FORCE, 0);
    let rules =
        folder.write("rules.toml", "[[plan]]\nname = \"basic\"\nunits_per_second = 9.0\nburst = 40.0\n");
    let (fine, said) = run(&["settings", "propose", &files[0], &rules], &[]);
    assert!(fine, "{said}");
    wait_for_version(&again, IN_FORCE, 1);
}

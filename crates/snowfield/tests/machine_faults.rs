//! Faults of the gatekeeper's machine: transient errors of system calls must not count against a backend, nor make a start fail.

mod common;

use common::admin::{admin_command, read_metric};
use common::soak::soak_program;
use common::*;
use fault_harness::outcome::Outcome;
use fault_harness::ports::free_address;
use fault_shim_control::{CONTROL_VARIABLE, Control, RATE_SCALE, Setting};
use platform_soak::gatekeeper::Gatekeeper;
use platform_soak::history::{History, Moment, Recorder};
use platform_soak::run::run;
use platform_soak::schedule::{CallFaults, Fault, FaultKind, Schedule};
use platform_soak::settings::{Addresses, Settings};
use platform_soak::stand_ins::BackendMode;
use std::sync::Arc;
use std::time::Duration;

const GATEKEEPERS: usize = 4;
/// Tenants with this index and above have more quota than they use.
const FIRST_TENANT_WITH_SPARE_QUOTA: usize = 3;
/// Limit on the time from when the machine can connect again to the first served request.
const MAX_RECOVERY_TIME: Duration = Duration::from_millis(300);

/// The moment when a gatekeeper first served a request that was sent after `after` by a tenant with spare quota.
fn first_success(history: &History, gatekeeper: usize, after: Moment) -> Option<Moment> {
    let requests = history.requests.iter().filter(|request| request.number.gatekeeper() == gatekeeper);
    let served = requests.filter(|request| {
        request.outcome == Outcome::Served
            && request.sent > after
            && request.tenant >= FIRST_TENANT_WITH_SPARE_QUOTA
    });
    served.map(|request| request.ended).min()
}

/// Regression: while every connect failed for 2 s, the failures counted against each backend, so that requests were rejected for
/// up to a second after the recovery.
#[test]
fn backends_are_used_at_once_when_the_machine_connects_again() {
    let mut schedule = Schedule::draw(5, GATEKEEPERS, Duration::from_secs(8));
    let (start, duration) = (Duration::from_millis(2_000), Duration::from_millis(2_000));
    // All backends close idle connections, and no gatekeeper can connect.
    let closes_idle = |backend| FaultKind::Backend { backend, mode: BackendMode::ClosingIdle };
    let mut kinds: Vec<FaultKind> = (0..schedule.settings.backends).map(closes_idle).collect();
    kinds.push(FaultKind::Calls { first: 0, step: 1, faults: CallFaults::NoConnections });
    schedule.faults = kinds.into_iter().map(|kind| Fault::new(start, duration, kind)).collect();
    let directory = TestDirectory::new("connects-again");
    let verdict = run(&schedule, &soak_program(), directory.path()).expect("all programs start");
    let connects_again = verdict.history.started + start + duration;
    for gatekeeper in 0..GATEKEEPERS {
        let first = first_success(&verdict.history, gatekeeper, connects_again);
        let after = first.expect("the gatekeeper serves again") - connects_again;
        assert!(
            after <= MAX_RECOVERY_TIME,
            "n{gatekeeper} served {after:?} after the machine connected again"
        );
    }
}

/// A gatekeeper whose first `failures` calls of `socket` fail.
fn gatekeeper_with_failing_sockets(test: &str, failures: u64) -> (Arc<Gatekeeper>, TestDirectory) {
    let (directory, recorder) = (TestDirectory::new(test), Recorder::default());
    let settings = Settings::draw(&mut fastrand::Rng::with_seed(1), 1);
    let [listen, discovery, counter] = [(); 3].map(|()| free_address().expect("a free port"));
    let gatekeeper = Gatekeeper::new(0, listen, soak_program(), directory.path(), &recorder)
        .expect("the directory of the gatekeeper can be created");
    let config = settings.config(0, Addresses { listen, discovery, counter });
    gatekeeper.write_config(&config).expect("the configuration is written");
    gatekeeper.control.set(Setting::FirstSocketFailures, failures).expect("the control block is writable");
    (gatekeeper, directory)
}

/// Regression: one transient error of `socket` ended the program with status 1.
#[test]
fn a_start_succeeds_after_transient_socket_errors() {
    for failures in [1, 2, 5, 20] {
        let (gatekeeper, _directory) =
            gatekeeper_with_failing_sockets(&format!("start-{failures}"), failures);
        gatekeeper.start(0).expect("the program starts");
        assert!(gatekeeper.wait_until_ready(), "the gatekeeper is ready after {failures} failures");
        gatekeeper.stop(Duration::from_secs(5));
    }
}

/// Regression: a failed write of the ejections file was not retried, so that a gatekeeper used the ejected backend again after it
/// was killed and restarted.
#[test]
fn an_ejection_is_stored_once_the_disk_is_writable_again() {
    let ((one, _), (two, _)) = (start_echo_backend(), start_echo_backend());
    let directory = TestDirectory::new("unsaved-tmp");
    let control = Control::create(&directory.path().join("faults")).expect("the control block is writable");
    let shim = soak_program().shim;
    let path_text = |path: &std::path::Path| path.to_str().expect("a path in UTF-8").to_owned();
    let (shared_path, shim, faults) =
        (path_text(directory.path()), path_text(&shim), path_text(control.path()));
    let variables = [
        ("BALANCER_OPERATOR", "127.0.0.1:0"),
        ("TMPDIR", shared_path.as_str()),
        ("LD_PRELOAD", shim.as_str()),
        (CONTROL_VARIABLE, faults.as_str()),
    ];
    let options = SiteOptions { backends: &[one, two], ..SiteOptions::default() };
    let site = start_site_with_environment("unsaved", &options, &variables);
    let admin = site.admin.expect("the site has an admin listener");
    let unsaved_ejections = || read_metric(admin, "balancer_exclusions_unsaved");
    control.set(Setting::FileOpenFailure, RATE_SCALE).expect("the control block is writable");
    assert_eq!(admin_command(admin, "exclude s-0"), "OK\n");
    assert_eq!(unsaved_ejections(), 1, "the metric shows that the ejection is not on disk");
    control.clear_faults().expect("the control block is writable");
    let started = std::time::Instant::now();
    while unsaved_ejections() == 1 {
        assert!(started.elapsed() < TIMEOUT, "the write is retried");
    }
    drop(site.program);
    let path = site.directory.path().join("config.json");
    let restarted =
        Program::start(&[], &[&[("BALANCER_CONFIG", path_text(&path).as_str())], &variables[..]].concat());
    let admin = admin_address(&restarted);
    while admin_command(admin, "readyz") != "OK\n" {}
    assert_eq!(read_metric(admin, "balancer_members_unavailable"), 1, "the backend is still ejected");
}

//! Faults of the gatekeeper's machine: transient errors of system calls are no fault of a backend, and do not end a start.

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
/// Tenants from this one on have plenty of quota.
const FIRST_WELL_PROVIDED_TENANT: usize = 3;
/// The first request is served at most this long after the machine can connect again.
const RECOVERY: Duration = Duration::from_millis(300);

/// When a gatekeeper first served a request of a tenant with plenty of quota that was sent after this moment.
fn first_success(history: &History, gatekeeper: usize, after: Moment) -> Option<Moment> {
    let of_this = history.requests.iter().filter(|request| request.number.gatekeeper() == gatekeeper);
    let served = of_this.filter(|request| {
        request.outcome == Outcome::Served
            && request.sent > after
            && request.tenant >= FIRST_WELL_PROVIDED_TENANT
    });
    served.map(|request| request.ended).min()
}

/// Regression: while every connect failed for 2 s, each backend was blamed for it, so that requests were rejected for up to a second
/// after the recovery.
#[test]
fn backends_are_used_at_once_when_the_machine_connects_again() {
    let mut schedule = Schedule::draw(5, GATEKEEPERS, Duration::from_secs(8));
    let (start, duration) = (Duration::from_millis(2_000), Duration::from_millis(2_000));
    // All backends close idle connections, and no gatekeeper can connect.
    let closing = |backend| FaultKind::Backend { backend, mode: BackendMode::ClosingIdle };
    let mut kinds: Vec<FaultKind> = (0..schedule.settings.backends).map(closing).collect();
    kinds.push(FaultKind::Calls { first: 0, step: 1, faults: CallFaults::NoConnections });
    schedule.faults = kinds.into_iter().map(|kind| Fault::new(start, duration, kind)).collect();
    let directory = TestDirectory::new("connects-again");
    let verdict = run(&schedule, &soak_program(), directory.path()).expect("all programs start");
    let connects_again = verdict.history.started + start + duration;
    for gatekeeper in 0..GATEKEEPERS {
        let first = first_success(&verdict.history, gatekeeper, connects_again);
        let after = first.expect("it serves again") - connects_again;
        assert!(after <= RECOVERY, "n{gatekeeper} served {after:?} after the machine connected again");
    }
}

/// A gatekeeper whose first calls of `socket` fail.
fn gatekeeper_with_failing_sockets(test: &str, failures: u64) -> (Arc<Gatekeeper>, TestDirectory) {
    let (directory, recorder) = (TestDirectory::new(test), Recorder::default());
    let settings = Settings::draw(&mut fastrand::Rng::with_seed(1), 1);
    let [listen, discovery, counter] = [(); 3].map(|()| free_address().expect("a free port"));
    let gatekeeper = Gatekeeper::new(0, listen, soak_program(), directory.path(), &recorder)
        .expect("a folder for its files");
    let config = settings.config(0, Addresses { listen, discovery, counter });
    gatekeeper.write_config(&config).expect("a configuration");
    gatekeeper.control.set(Setting::FirstSocketFailures, failures).expect("the control block is writable");
    (gatekeeper, directory)
}

/// Regression: one transient error of `socket` ended the program with status 1.
#[test]
fn a_start_survives_sockets_that_cannot_be_opened_for_a_moment() {
    for failures in [1, 2, 5, 20] {
        let (gatekeeper, _directory) =
            gatekeeper_with_failing_sockets(&format!("start-{failures}"), failures);
        gatekeeper.start(0).expect("the program starts");
        assert!(gatekeeper.wait_until_ready(), "with {failures} failures");
        gatekeeper.stop(Duration::from_secs(5));
    }
}

/// Regression: a failed write of the ejections file was not retried, so that a gatekeeper that was killed and restarted used the
/// backend again.
#[test]
fn an_ejection_is_stored_once_the_disk_takes_writes_again() {
    let ((one, _), (two, _)) = (start_echo_backend(), start_echo_backend());
    let directory = TestDirectory::new("unsaved-tmp");
    let control = Control::create(&directory.path().join("faults")).expect("the control block is writable");
    let shim = soak_program().shim;
    let text = |path: &std::path::Path| path.to_str().expect("a path in UTF-8").to_owned();
    let (shared_path, shim, faults) = (text(directory.path()), text(&shim), text(control.path()));
    let variables = [
        ("BALANCER_OPERATOR", "127.0.0.1:0"),
        ("TMPDIR", shared_path.as_str()),
        ("LD_PRELOAD", shim.as_str()),
        (CONTROL_VARIABLE, faults.as_str()),
    ];
    let options = SiteOptions { backends: &[one, two], ..SiteOptions::default() };
    let site = start_site_with_environment("unsaved", &options, &variables);
    let admin = site.admin.expect("the site has an admin listener");
    let unsaved = || read_metric(admin, "balancer_exclusions_unsaved");
    control.set(Setting::FileOpenFailure, RATE_SCALE).expect("the control block is writable");
    assert_eq!(admin_command(admin, "exclude s-0"), "OK\n");
    assert_eq!(unsaved(), 1, "the figures show that it is not on disk");
    control.clear_faults().expect("the control block is writable");
    let began = std::time::Instant::now();
    while unsaved() == 1 {
        assert!(began.elapsed() < TIMEOUT, "it is written again");
    }
    drop(site.program);
    let path = site.directory.path().join("config.json");
    let next = Program::start(&[], &[&[("BALANCER_CONFIG", text(&path).as_str())], &variables[..]].concat());
    let admin = admin_address(&next);
    while admin_command(admin, "readyz") != "OK\n" {}
    assert_eq!(read_metric(admin, "balancer_members_unavailable"), 1, "still ejected");
}

//! Injects the faults of a schedule, each in a thread of its own.

use crate::history::CounterChange;
use crate::schedule::{CallFaults, Fault, FaultKind, RestartKind, Schedule};
use crate::settings::MAX_SOCKETS;
use crate::site::Site;
use crate::stand_ins::{BackendMode, CounterMode, DiscoveryMode};
use fault_harness::stand_ins::ListedState;
use fault_harness::timeline::inject_each;
use fault_shim_control::{RATE_SCALE, Setting};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Time for which a restarting backend refuses connections.
const BACKEND_DOWN_TIME: Duration = Duration::from_millis(400);
/// Delay before a killed gatekeeper is restarted.
const CRASH_DOWN_TIME: Duration = Duration::from_millis(150);
/// Pause between two reloads in quick succession.
const RELOAD_PAUSE: Duration = Duration::from_millis(60);
/// Duration of a suspension. Gatekeepers are specified for scheduling delays of up to 0.15 s.
const SUSPENSION: Duration = Duration::from_millis(140);
/// Pause between two suspensions.
const SUSPENSION_PAUSE: Duration = Duration::from_millis(300);
/// Rates of client misbehaviour during a fault, out of 1,000 requests.
const DISCONNECT_RATE: u64 = 350;
const PARTIAL_RATE: u64 = 40;
const SHORT_DEADLINE_RATE: u64 = 400;
/// Settings of the preloaded library for each of the [`CallFaults`], with failure rates out of [`RATE_SCALE`] calls.
const SOCKET_FAULTS: [(Setting, u64); 3] =
    [(Setting::AcceptFailure, 1_500), (Setting::SocketFailure, 500), (Setting::ConnectFailure, 500)];
const TRANSFER_FAULTS: [(Setting, u64); 2] = [(Setting::ShortTransfer, 3_000), (Setting::Interruption, 500)];
const BROKEN_FAULTS: [(Setting, u64); 1] = [(Setting::BrokenConnection, 100)];
const CONNECT_FAULTS: [(Setting, u64); 1] = [(Setting::ConnectFailure, RATE_SCALE)];
const DISK_FAULTS: [(Setting, u64); 3] = [
    (Setting::FileOpenFailure, 5_000),
    (Setting::FileWriteFailure, 5_000),
    (Setting::FileRenameFailure, 5_000),
];

fn shim_settings(faults: CallFaults) -> &'static [(Setting, u64)] {
    match faults {
        CallFaults::Sockets => &SOCKET_FAULTS,
        CallFaults::ShortTransfers => &TRANSFER_FAULTS,
        CallFaults::BrokenConnections => &BROKEN_FAULTS,
        CallFaults::NoConnections => &CONNECT_FAULTS,
        CallFaults::Disk => &DISK_FAULTS,
    }
}

/// Injects all faults of a schedule at their times. Returns at the end of the schedule, once all faults are over.
pub fn run(site: &Site, schedule: &Schedule) {
    let clock = site.recorder.clock();
    let began = clock.now();
    site.recorder.record(|history| history.started = began);
    let start = |fault: &Fault| began + fault.start;
    inject_each(clock, &schedule.faults, start, |_, fault| inject(site, fault));
    clock.sleep_until(began + schedule.length);
}

fn inject(site: &Site, fault: &Fault) {
    let &Fault { duration, kind, .. } = fault;
    match kind {
        FaultKind::Restart { gatekeeper, kind, clock_offset_us } => {
            restart(site, gatekeeper, kind, clock_offset_us);
        }
        FaultKind::ClockStep { gatekeeper, clock_offset_us } => {
            // Only the harness writes to the control block, so a failed write is not expected.
            let _ = site.gatekeepers[gatekeeper].control.set_clock_offset(clock_offset_us);
        }
        FaultKind::Reloads { gatekeeper, count } => {
            for _ in 0..count {
                site.gatekeepers[gatekeeper].reload();
                thread::sleep(RELOAD_PAUSE);
            }
        }
        FaultKind::Suspensions { gatekeeper, count } => {
            for _ in 0..count {
                site.gatekeepers[gatekeeper].suspend(SUSPENSION);
                thread::sleep(SUSPENSION_PAUSE);
            }
        }
        FaultKind::Calls { first, step, faults } => hold_call_faults(site, first, step, faults, duration),
        FaultKind::Discovery { first, step, mode } => {
            let selected = || site.discoveries.iter().skip(first).step_by(step);
            selected().for_each(|discovery| discovery.set_mode(mode));
            thread::sleep(duration);
            selected().for_each(|discovery| discovery.set_mode(DiscoveryMode::Healthy));
        }
        FaultKind::Counter { mode } => {
            site.counter.set_mode(mode);
            record_counter_change(site, site.gatekeepers.len());
            thread::sleep(duration);
            site.counter.set_mode(CounterMode::Healthy);
            record_counter_change(site, site.gatekeepers.len());
        }
        FaultKind::Backend { backend, mode } => {
            site.backends[backend].set_mode(mode);
            thread::sleep(duration);
            site.backends[backend].set_mode(BackendMode::Healthy);
        }
        FaultKind::Drain { backend } => {
            hold_listed_state(site, backend, ListedState::Draining, duration);
        }
        FaultKind::Removal { backend } => hold_listed_state(site, backend, ListedState::Removed, duration),
        FaultKind::BackendRestart { backend } => restart_backend(site, backend),
        FaultKind::Leaving => {
            hold_misbehaviour(site, duration, DISCONNECT_RATE, |behaviour| &behaviour.disconnecting)
        }
        FaultKind::PartialRequests => {
            hold_misbehaviour(site, duration, PARTIAL_RATE, |behaviour| &behaviour.partial);
        }
        FaultKind::HurriedRequests => {
            hold_misbehaviour(site, duration, SHORT_DEADLINE_RATE, |behaviour| &behaviour.short_deadlines);
        }
        FaultKind::IdleCrowd { gatekeeper } => hold_idle_connections(site, gatekeeper, duration),
    }
}

/// Lists a backend in another state for a while, and then as up again.
fn hold_listed_state(site: &Site, backend: usize, state: ListedState, duration: Duration) {
    site.list.change(backend, state, false);
    thread::sleep(duration);
    site.list.change(backend, ListedState::Up, false);
}

/// Removes a backend from the list, takes it down and up again, and lists it as just started.
fn restart_backend(site: &Site, backend: usize) {
    site.list.change(backend, ListedState::Removed, false);
    site.backends[backend].set_mode(BackendMode::Refusing);
    thread::sleep(BACKEND_DOWN_TIME);
    site.backends[backend].set_mode(BackendMode::Healthy);
    site.list.change(backend, ListedState::Up, true);
}

/// Opens as many idle connections as a gatekeeper may have sockets, and closes them at the end of the fault.
fn hold_idle_connections(site: &Site, gatekeeper: usize, duration: Duration) {
    let address = site.gatekeepers[gatekeeper].address;
    let connect = |_| TcpStream::connect_timeout(&address, BACKEND_DOWN_TIME).ok();
    let connections: Vec<TcpStream> = (0..MAX_SOCKETS).filter_map(connect).collect();
    thread::sleep(duration);
    drop(connections);
}

/// Replaces the process of a gatekeeper.
fn restart(site: &Site, gatekeeper: usize, kind: RestartKind, clock_offset_us: i64) {
    let (gatekeeper, kill_after) = (&site.gatekeepers[gatekeeper], site.kill_after());
    let restarted = match kind {
        RestartKind::Graceful => gatekeeper.restart(kill_after, clock_offset_us),
        RestartKind::Crash => gatekeeper.crash(CRASH_DOWN_TIME, clock_offset_us),
        RestartKind::Upgrade => gatekeeper.upgrade(kill_after, clock_offset_us),
    };
    if let Err(error) = restarted {
        println!("the harness could not start a process: {error}");
    }
}

/// Injects faults into the system calls of some gatekeepers.
fn hold_call_faults(site: &Site, first: usize, step: usize, faults: CallFaults, duration: Duration) {
    let set = |is_active: bool| {
        for gatekeeper in site.gatekeepers.iter().skip(first).step_by(step) {
            for &(setting, rate) in shim_settings(faults) {
                // Only the harness writes to the control block, so a failed write is not expected.
                let _ = gatekeeper.control.set(setting, if is_active { rate } else { 0 });
            }
        }
    };
    let affected = site.gatekeepers.iter().skip(first).step_by(step).count();
    set(true);
    if affects_counter_calls(faults) {
        record_counter_change(site, affected);
    }
    thread::sleep(duration);
    set(false);
    if affects_counter_calls(faults) {
        record_counter_change(site, affected);
    }
}

/// Whether calls to the quota counter may fail under these faults.
fn affects_counter_calls(faults: CallFaults) -> bool {
    matches!(faults, CallFaults::Sockets | CallFaults::BrokenConnections | CallFaults::NoConnections)
}

fn record_counter_change(site: &Site, gatekeepers: usize) {
    let change = CounterChange { at: site.recorder.now(), gatekeepers };
    site.recorder.record(|history| history.counter_changes.push(change));
}

/// Makes clients misbehave at a rate until the end of the fault.
fn hold_misbehaviour(
    site: &Site,
    duration: Duration,
    rate: u64,
    rate_of: impl Fn(&crate::client::Behaviour) -> &std::sync::atomic::AtomicU64,
) {
    rate_of(&site.behaviour).store(rate, Ordering::Relaxed);
    thread::sleep(duration);
    rate_of(&site.behaviour).store(0, Ordering::Relaxed);
}

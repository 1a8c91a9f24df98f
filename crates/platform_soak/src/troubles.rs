//! Carrying out a schedule: each trouble begins at its time, in a thread of its own, and ends after its length.

use crate::history::ListedState;
use crate::schedule::{CallFaults, Planned, RestartKind, Schedule, Trouble, suspension};
use crate::settings::MAX_SOCKETS;
use crate::site::Site;
use crate::stand_ins::{AgentMode, BackendMode, CounterMode, spawn};
use fault_shim_control::{RATE_SCALE, Setting};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// How long a backend that restarts is away.
const BACKEND_AWAY: Duration = Duration::from_millis(400);
/// How long a gatekeeper that was killed is away.
const CRASH_PAUSE: Duration = Duration::from_millis(150);
/// Pause between two configurations in quick succession.
const RELOAD_PAUSE: Duration = Duration::from_millis(60);
/// Pause between two suspensions.
const SUSPENSION_PAUSE: Duration = Duration::from_millis(300);
/// Parts of a thousand requests of badly behaved clients.
const LEAVING_RATE: u64 = 350;
const PARTIAL_RATE: u64 = 40;
const HURRIED_RATE: u64 = 400;
/// Settings of the preloaded library for each kind of fault.
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

fn settings_of(faults: CallFaults) -> &'static [(Setting, u64)] {
    match faults {
        CallFaults::Sockets => &SOCKET_FAULTS,
        CallFaults::ShortTransfers => &TRANSFER_FAULTS,
        CallFaults::BrokenConnections => &BROKEN_FAULTS,
        CallFaults::NoConnections => &CONNECT_FAULTS,
        CallFaults::Disk => &DISK_FAULTS,
    }
}

/// Carries out a schedule and returns at its end, when all troubles are over.
pub fn play(site: &Arc<Site>, schedule: &Schedule) {
    let began = site.history.now();
    site.history.record(|records| records.started = began);
    let mut running = Vec::new();
    for &planned in &schedule.troubles {
        thread::sleep((began + planned.at).saturating_sub(site.history.now()));
        let site = site.clone();
        running.extend(spawn(move || carry_out(&site, planned)));
    }
    thread::sleep((began + schedule.length).saturating_sub(site.history.now()));
    running.into_iter().for_each(|thread| drop(thread.join()));
}

fn carry_out(site: &Site, planned: Planned) {
    let Planned { length, trouble, .. } = planned;
    match trouble {
        Trouble::Restart { gatekeeper, kind, clock_offset_us } => {
            restart(site, gatekeeper, kind, clock_offset_us);
        }
        Trouble::ClockStep { gatekeeper, clock_offset_us } => {
            // The harness writes to its own file.
            let _ = site.gatekeepers[gatekeeper].control.set_clock_offset(clock_offset_us);
        }
        Trouble::Reloads { gatekeeper, count } => {
            for _ in 0..count {
                site.gatekeepers[gatekeeper].reload();
                thread::sleep(RELOAD_PAUSE);
            }
        }
        Trouble::Suspensions { gatekeeper, count } => {
            for _ in 0..count {
                site.gatekeepers[gatekeeper].suspend(suspension());
                thread::sleep(SUSPENSION_PAUSE);
            }
        }
        Trouble::Calls { first, step, faults } => call_faults(site, first, step, faults, length),
        Trouble::Discovery { first, step, mode } => {
            let agents = || site.agents.iter().skip(first).step_by(step);
            agents().for_each(|agent| agent.set_mode(mode));
            thread::sleep(length);
            agents().for_each(|agent| agent.set_mode(AgentMode::Healthy));
        }
        Trouble::Counter { mode } => {
            site.counter.set_mode(mode);
            note_counter_change(site, site.gatekeepers.len());
            thread::sleep(length);
            site.counter.set_mode(CounterMode::Healthy);
            note_counter_change(site, site.gatekeepers.len());
        }
        Trouble::Backend { backend, mode } => {
            site.backends[backend].set_mode(mode);
            thread::sleep(length);
            site.backends[backend].set_mode(BackendMode::Healthy);
        }
        Trouble::Drain { backend } => {
            change_for(site, backend, ListedState::Draining, length);
        }
        Trouble::Removal { backend } => change_for(site, backend, ListedState::Removed, length),
        Trouble::BackendRestart { backend } => restart_backend(site, backend),
        Trouble::Leaving => badly_behaved(site, length, LEAVING_RATE, |behaviour| &behaviour.leaving),
        Trouble::PartialRequests => {
            badly_behaved(site, length, PARTIAL_RATE, |behaviour| &behaviour.partial);
        }
        Trouble::HurriedRequests => {
            badly_behaved(site, length, HURRIED_RATE, |behaviour| &behaviour.hurried);
        }
        Trouble::IdleCrowd { gatekeeper } => crowd(site, gatekeeper, length),
    }
}

/// Gives a backend another state on the list, and then the one in which it takes work.
fn change_for(site: &Site, backend: usize, state: ListedState, length: Duration) {
    site.list.change(backend, state, false);
    thread::sleep(length);
    site.list.change(backend, ListedState::Up, false);
}

fn restart_backend(site: &Site, backend: usize) {
    site.list.change(backend, ListedState::Removed, false);
    site.backends[backend].set_mode(BackendMode::Refusing);
    thread::sleep(BACKEND_AWAY);
    site.backends[backend].set_mode(BackendMode::Healthy);
    site.list.change(backend, ListedState::Up, true);
}

fn crowd(site: &Site, gatekeeper: usize, length: Duration) {
    let address = site.gatekeepers[gatekeeper].address;
    let connect = |_| TcpStream::connect_timeout(&address, BACKEND_AWAY).ok();
    let connections: Vec<TcpStream> = (0..MAX_SOCKETS).filter_map(connect).collect();
    thread::sleep(length);
    drop(connections);
}

fn restart(site: &Site, gatekeeper: usize, kind: RestartKind, clock_offset_us: i64) {
    let (gatekeeper, kill_after) = (&site.gatekeepers[gatekeeper], site.kill_after());
    let restarted = match kind {
        RestartKind::Graceful => gatekeeper.restart(kill_after, clock_offset_us),
        RestartKind::Crash => gatekeeper.crash(CRASH_PAUSE, clock_offset_us),
        RestartKind::Upgrade => gatekeeper.upgrade(kill_after, clock_offset_us),
    };
    if let Err(error) = restarted {
        println!("the harness could not start a process: {error}");
    }
}

fn call_faults(site: &Site, first: usize, step: usize, faults: CallFaults, length: Duration) {
    let set = |is_active: bool| {
        for gatekeeper in site.gatekeepers.iter().skip(first).step_by(step) {
            for &(setting, rate) in settings_of(faults) {
                // The harness writes to its own file.
                let _ = gatekeeper.control.set(setting, if is_active { rate } else { 0 });
            }
        }
    };
    let affected = site.gatekeepers.iter().skip(first).step_by(step).count();
    set(true);
    if cuts_off_the_counter(faults) {
        note_counter_change(site, affected);
    }
    thread::sleep(length);
    set(false);
    if cuts_off_the_counter(faults) {
        note_counter_change(site, affected);
    }
}

/// Whether calls to the counter fail with these faults.
fn cuts_off_the_counter(faults: CallFaults) -> bool {
    matches!(faults, CallFaults::Sockets | CallFaults::BrokenConnections | CallFaults::NoConnections)
}

fn note_counter_change(site: &Site, gatekeepers: usize) {
    let change = (site.history.now(), gatekeepers);
    site.history.record(|records| records.counter_changes.push(change));
}

fn badly_behaved(
    site: &Site,
    length: Duration,
    rate: u64,
    which: impl Fn(&crate::client::Behaviour) -> &std::sync::atomic::AtomicU64,
) {
    which(&site.behaviour).store(rate, Ordering::Relaxed);
    thread::sleep(length);
    which(&site.behaviour).store(0, Ordering::Relaxed);
}

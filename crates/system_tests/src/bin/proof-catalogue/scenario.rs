//! What happens to the catalogue, step by step.

use crate::sizes;
use crate::timeline::{Drain, Flapping, Outage, Span, Timeline, pause};
use crate::{BACKENDS, CLIENTS, FLAPS, OUTAGE_S};
use fault_injection::history::now_us;
use fault_injection::load::{Tenant, UNLIMITED_TENANT};
use fault_injection::schedule::{DiskFault, FailureMode, FaultKind};
use fault_injection::site::Site;
use stand_in_consul::{CheckStatus, Fault, Service, Weights};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle, sleep};
use std::time::Duration;
use system_tests::Error;

/// Between two requests of a client: together well below the quota of the tenant for whom they ask.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
const DRAINS: usize = 20;
const DRAIN_KINDS: [&str; 5] = ["critical", "maintenance", "node down", "warning", "gone"];
/// The backend that is drained while the first agent is away.
pub(crate) const FAILOVER_BACKEND: usize = 7;
/// The only gatekeeper.
const GATEKEEPER: &str = "m0";

/// Runs all steps.
pub(crate) fn run(site: &Arc<Site>) -> Result<Timeline, Error> {
    let mut timeline = Timeline::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let begin_us = now_us();
    let clients: Vec<_> = (0..CLIENTS).map(|_| start_client(site, &is_over)).collect();
    pause(2.0);
    timeline.calm = pause(5.0);
    drain_each_kind(site, &mut timeline);
    // All are back for good before anything else; their holds for flaps run out.
    pause(1.0);
    consul_outages(site, &mut timeline);
    first_agent_away(site, &mut timeline);
    flapping(site, &mut timeline);
    damaged_answers(site, &mut timeline);
    replaced_and_weighted(site, &mut timeline);
    restarts(site, &mut timeline)?;
    timeline.load = Span::since(begin_us);
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    sizes::measure(site, &mut timeline);
    Ok(timeline)
}

fn start_client(site: &Site, is_over: &Arc<AtomicBool>) -> JoinHandle<()> {
    let (mut client, is_over) = (site.client(0), is_over.clone());
    let tenant = Tenant { request_interval: REQUEST_INTERVAL, ..UNLIMITED_TENANT };
    thread::spawn(move || {
        while !is_over.load(Ordering::Relaxed) {
            client.send_request(&tenant);
            sleep(REQUEST_INTERVAL);
        }
    })
}

/// Both Consul agents fail like this.
fn fail_consul(site: &Site, fault: Fault) {
    site.consul_agents(0).iter().for_each(|agent| agent.fail(fault));
}

/// The catalogue with these backends failing.
fn with_critical(site: &Site, backends: &[usize]) -> Vec<Service> {
    let mut services = site.healthy_services();
    backends.iter().for_each(|&i| services[i].status = CheckStatus::Critical);
    services
}

/// Drains of every kind, one after the other.
fn drain_each_kind(site: &Site, timeline: &mut Timeline) {
    for (turn, kind) in DRAIN_KINDS.iter().cycle().take(DRAINS).enumerate() {
        let i = turn % BACKENDS;
        let mut services = site.healthy_services();
        let backend = services[i].id.clone();
        match *kind {
            "critical" => services[i].status = CheckStatus::Critical,
            "maintenance" => services[i].in_maintenance = true,
            "node down" => services[i].is_node_healthy = false,
            "warning" => services[i].status = CheckStatus::Warning,
            _ => drop(services.remove(i)),
        }
        let changed_us = site.set_services(services);
        pause(0.5);
        timeline.drains.push(Drain { backend, span: Span::since(changed_us) });
        site.set_services(site.healthy_services());
        pause(0.1);
    }
}

/// Outages of three kinds, in each of which two backends die for real.
fn consul_outages(site: &Site, timeline: &mut Timeline) {
    let kinds =
        [("silent", Fault::Silent), ("refusing", Fault::Closed), ("answering 500", Fault::Status(500))];
    for (turn, (kind, fault)) in kinds.into_iter().enumerate() {
        fail_consul(site, fault);
        pause(1.0);
        let span = thread::scope(|scope| {
            let dying = [2 * turn, 2 * turn + 1].map(|i| {
                let dies = FaultKind::Backends { target: format!("l{i}"), mode: FailureMode::Closed };
                scope.spawn(move || {
                    site.inject_fault(0, &dies, &|| {
                        pause(OUTAGE_S);
                    })
                })
            });
            let span = pause(OUTAGE_S);
            dying.into_iter().for_each(|backend| drop(backend.join()));
            span
        });
        timeline.outages.push(Outage { kind, span });
        fail_consul(site, Fault::None);
        pause(6.0);
    }
}

/// The first agent alone is away: the second is asked.
fn first_agent_away(site: &Site, timeline: &mut Timeline) {
    let first_agent = &site.consul_agents(0)[0];
    first_agent.fail(Fault::Closed);
    pause(3.0);
    let changed_us = site.set_services(with_critical(site, &[FAILOVER_BACKEND]));
    pause(1.5);
    timeline.failover = Span::since(changed_us);
    first_agent.fail(Fault::None);
    site.set_services(site.healthy_services());
    pause(1.0);
}

/// A flap every second, of one backend and of a third of the fleet.
fn flapping(site: &Site, timeline: &mut Timeline) {
    for backends in [&[8][..], &[8, 9, 10, 11]] {
        let from_us = now_us();
        for second in 0..FLAPS {
            let is_critical = second % 2 == 0;
            let services = if is_critical { with_critical(site, backends) } else { site.healthy_services() };
            site.set_services(services);
            pause(1.0);
        }
        timeline.flapping.push(Flapping { backends: backends.len(), span: Span::since(from_us) });
        site.set_services(site.healthy_services());
    }
}

/// The catalogue wiped and restored, responses truncated, and an index that goes back.
fn damaged_answers(site: &Site, timeline: &mut Timeline) {
    let wiped_us = site.set_services(Vec::new());
    pause(3.0);
    site.set_services(site.healthy_services());
    timeline.wiped = Span { from_us: wiped_us, to_us: pause(2.0).to_us };

    fail_consul(site, Fault::ResponseTruncated);
    timeline.truncated = pause(2.0);
    fail_consul(site, Fault::None);
    site.set_catalogue_index(3);
    site.set_services(site.healthy_services());
    timeline.index_back = pause(2.0);
}

/// An instance replaced at the same address, and weights of 1 to 3.
fn replaced_and_weighted(site: &Site, timeline: &mut Timeline) {
    let mut services = site.healthy_services();
    services[0].id = "l-new".into();
    let changed_us = site.set_services(services.clone());
    pause(2.0);
    timeline.replaced = Span::since(changed_us + 1_000_000);

    for (i, service) in services.iter_mut().enumerate() {
        service.weights = Weights { passing: i as u32 % 3 + 1, warning: 1 };
    }
    site.set_services(services);
    pause(1.0);
    timeline.weighted = pause(6.0);
}

/// A restart while Consul is away, and one that finds half of the cached list.
fn restarts(site: &Site, timeline: &mut Timeline) -> Result<(), Error> {
    site.set_services(site.healthy_services());
    pause(2.0);
    fail_consul(site, Fault::Silent);
    pause(0.5);
    let from_us = now_us();
    site.inject_fault(1, &FaultKind::ShutDown { target: GATEKEEPER.into() }, &|| ())?;
    pause(4.0);
    timeline.restart = Span::since(from_us);
    timeline.status = site.status(0);
    let from_us = now_us();
    let torn = FaultKind::Disk { target: GATEKEEPER.into(), fault: DiskFault::Torn(500) };
    site.inject_fault(2, &torn, &|| ())?;
    timeline.torn = Span::since(from_us);
    fail_consul(site, Fault::None);
    pause(4.0);
    Ok(())
}

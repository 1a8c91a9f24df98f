//! The steps of the scenario: faults of Consul, changes of its catalogue and restarts of the gatekeeper.

use crate::load::Load;
use crate::timeline::{DamagedResponses, Drain, Flapping, Outage, Restarts, Timeline, pause};
use crate::{BACKENDS, sizes};
use fault_injection::history::{Span, now_us};
use fault_injection::schedule::{DiskFault, FailureMode, FaultKind};
use fault_injection::site::Site;
use stand_in_consul::{CheckStatus, Fault, Service, Weights};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use system_tests::Error;

/// How many times a backend is drained.
const DRAIN_COUNT: usize = 20;
/// The backend that is drained while the first Consul agent is down.
pub(crate) const FAILOVER_BACKEND: usize = 7;
/// The duration of each Consul outage.
const OUTAGE_DURATION: Duration = Duration::from_secs(30);
/// The number of health changes of a flapping backend, one per second.
pub(crate) const FLAPS: u32 = 60;
/// The groups of backends that flap: first a single one, then a third of all.
const FLAPPING_BACKENDS: [&[usize]; 2] = [&[8], &[8, 9, 10, 11]];
/// The only gatekeeper.
const GATEKEEPER: &str = "m0";
/// A catalogue index below those that the gatekeeper has seen.
const EARLIER_CATALOGUE_INDEX: u64 = 3;
/// Time after a change of the catalogue in which the gatekeeper may still send requests to the replaced instance.
const REPLACEMENT_GRACE_US: u64 = 1_000_000;
/// Length to which the cache file is truncated, about half of its full length.
const TRUNCATED_CACHE_BYTES: u32 = 500;

const HALF_SECOND: Duration = Duration::from_millis(500);
const ONE_SECOND: Duration = Duration::from_secs(1);
const TWO_SECONDS: Duration = Duration::from_secs(2);
const THREE_SECONDS: Duration = Duration::from_secs(3);
const FOUR_SECONDS: Duration = Duration::from_secs(4);

/// Runs all steps under load, and then measures large catalogues without load.
pub(crate) fn run(site: &Arc<Site>) -> Result<Timeline, Error> {
    let load = Load::start(site);
    pause(TWO_SECONDS);
    let fault_free = pause(Duration::from_secs(5));
    let drains = drain_backends(site);
    // After this pause all backends are eligible again, and none is still excluded because it flapped.
    pause(ONE_SECOND);
    let outages = consul_outages(site);
    let failover = drain_with_first_agent_down(site);
    let flapping = FLAPPING_BACKENDS.map(|backends| flap(site, backends)).into();
    let damaged_responses = damaged_responses(site);
    let replaced = replace_instance(site);
    let weighted = set_weights(site);
    let restarts = restart_without_consul(site)?;
    let load = load.stop();
    Ok(Timeline {
        load,
        fault_free,
        drains,
        outages,
        failover,
        flapping,
        damaged_responses,
        replaced,
        weighted,
        restarts,
        sizes: sizes::cost_of_sizes(site),
        memory: sizes::memory_growth(site),
    })
}

/// How the catalogue indicates that a backend must be drained.
#[derive(Clone, Copy)]
enum DrainKind {
    CheckCritical,
    Maintenance,
    NodeDown,
    CheckWarning,
    Deregistered,
}

impl DrainKind {
    const ALL: [Self; 5] =
        [Self::CheckCritical, Self::Maintenance, Self::NodeDown, Self::CheckWarning, Self::Deregistered];

    fn apply(self, services: &mut Vec<Service>, backend: usize) {
        match self {
            Self::CheckCritical => services[backend].status = CheckStatus::Critical,
            Self::Maintenance => services[backend].in_maintenance = true,
            Self::NodeDown => services[backend].is_node_healthy = false,
            Self::CheckWarning => services[backend].status = CheckStatus::Warning,
            Self::Deregistered => drop(services.remove(backend)),
        }
    }
}

/// Drains one backend after the other, cycling through all kinds of drains.
fn drain_backends(site: &Site) -> Vec<Drain> {
    let kinds = DrainKind::ALL.into_iter().cycle().take(DRAIN_COUNT);
    kinds.enumerate().map(|(index, kind)| drain(site, index % BACKENDS, kind)).collect()
}

fn drain(site: &Site, backend: usize, kind: DrainKind) -> Drain {
    let mut services = site.healthy_services();
    let name = services[backend].id.clone();
    kind.apply(&mut services, backend);
    let changed_us = site.set_services(services);
    pause(HALF_SECOND);
    let span = Span::since(changed_us);
    site.set_services(site.healthy_services());
    pause(Duration::from_millis(100));
    Drain { backend: name, span }
}

/// Makes both Consul agents fail in three ways, one after the other. Two backends die during each outage, different ones each
/// time.
fn consul_outages(site: &Site) -> Vec<Outage> {
    let kinds =
        [("silent", Fault::Silent), ("refusing", Fault::Closed), ("answering 500", Fault::Status(500))];
    let outages = kinds.into_iter().enumerate().map(|(index, (kind, fault))| {
        fail_consul(site, fault);
        pause(ONE_SECOND);
        let span = outage_with_dead_backends(site, [2 * index, 2 * index + 1]);
        fail_consul(site, Fault::None);
        pause(Duration::from_secs(6));
        Outage { kind, span }
    });
    outages.collect()
}

/// Waits for [`OUTAGE_DURATION`] while these backends accept no connections, and returns the span.
fn outage_with_dead_backends(site: &Site, backends: [usize; 2]) -> Span {
    thread::scope(|scope| {
        let dead = backends.map(|backend| {
            let kind = FaultKind::Backends { target: format!("l{backend}"), mode: FailureMode::Closed };
            scope.spawn(move || {
                site.inject_fault(0, &kind, &|| {
                    pause(OUTAGE_DURATION);
                })
            })
        });
        let span = pause(OUTAGE_DURATION);
        dead.into_iter().for_each(|backend| drop(backend.join()));
        span
    })
}

/// Drains a backend while only the first Consul agent is down, so that the gatekeeper polls the second one.
fn drain_with_first_agent_down(site: &Site) -> Span {
    let first_agent = &site.consul_agents(0)[0];
    first_agent.fail(Fault::Closed);
    pause(THREE_SECONDS);
    let changed_us = site.set_services(with_critical_checks(site, &[FAILOVER_BACKEND]));
    pause(Duration::from_millis(1_500));
    let span = Span::since(changed_us);
    first_agent.fail(Fault::None);
    site.set_services(site.healthy_services());
    pause(ONE_SECOND);
    span
}

/// Toggles the health of these backends every second, [`FLAPS`] times.
fn flap(site: &Site, backends: &[usize]) -> Flapping {
    let from_us = now_us();
    for second in 0..FLAPS {
        let is_critical = second % 2 == 0;
        let services =
            if is_critical { with_critical_checks(site, backends) } else { site.healthy_services() };
        site.set_services(services);
        pause(ONE_SECOND);
    }
    let span = Span::since(from_us);
    site.set_services(site.healthy_services());
    Flapping { backends: backends.len(), span }
}

/// Lets Consul return an empty catalogue, truncated responses and an index that goes back, one after the other.
fn damaged_responses(site: &Site) -> DamagedResponses {
    let wiped_us = site.set_services(Vec::new());
    pause(THREE_SECONDS);
    site.set_services(site.healthy_services());
    let wiped = Span { from_us: wiped_us, to_us: pause(TWO_SECONDS).to_us };

    fail_consul(site, Fault::ResponseTruncated);
    let truncated = pause(TWO_SECONDS);
    fail_consul(site, Fault::None);

    site.set_catalogue_index(EARLIER_CATALOGUE_INDEX);
    site.set_services(site.healthy_services());
    let index_back = pause(TWO_SECONDS);
    DamagedResponses { wiped, truncated, index_back }
}

/// Replaces the instance of the first backend with another one at the same address. Returns the span after
/// [`REPLACEMENT_GRACE_US`].
fn replace_instance(site: &Site) -> Span {
    let changed_us = site.set_services(with_replaced_instance(site));
    pause(TWO_SECONDS);
    Span::since(changed_us + REPLACEMENT_GRACE_US)
}

/// Gives the backends weights from 1 to 3 in rotation. Returns a span in which these weights apply.
fn set_weights(site: &Site) -> Span {
    let mut services = with_replaced_instance(site);
    for (backend, service) in services.iter_mut().enumerate() {
        service.weights = Weights { passing: weight(backend), warning: 1 };
    }
    site.set_services(services);
    pause(ONE_SECOND);
    pause(Duration::from_secs(6))
}

/// Returns the weight that [`set_weights`] gives to a backend.
pub(crate) fn weight(backend: usize) -> u32 {
    backend as u32 % 3 + 1
}

/// Restarts the gatekeeper while Consul does not respond, first with its cache file and then with a truncated one.
fn restart_without_consul(site: &Site) -> Result<Restarts, Error> {
    site.set_services(site.healthy_services());
    pause(TWO_SECONDS);
    fail_consul(site, Fault::Silent);
    pause(HALF_SECOND);

    let from_us = now_us();
    site.inject_fault(1, &FaultKind::ShutDown { target: GATEKEEPER.into() }, &|| ())?;
    pause(FOUR_SECONDS);
    let with_cache = Span::since(from_us);
    let status_report = site.status(0);

    let from_us = now_us();
    let truncated = DiskFault::Torn(TRUNCATED_CACHE_BYTES);
    site.inject_fault(2, &FaultKind::Disk { target: GATEKEEPER.into(), fault: truncated }, &|| ())?;
    let with_truncated_cache = Span::since(from_us);

    fail_consul(site, Fault::None);
    pause(FOUR_SECONDS);
    Ok(Restarts { with_cache, status_report, with_truncated_cache })
}

/// Makes both Consul agents fail in this way, or work again with [`Fault::None`].
fn fail_consul(site: &Site, fault: Fault) {
    site.consul_agents(0).iter().for_each(|agent| agent.fail(fault));
}

/// Returns the catalogue in which the health checks of these backends are critical.
fn with_critical_checks(site: &Site, backends: &[usize]) -> Vec<Service> {
    let mut services = site.healthy_services();
    backends.iter().for_each(|&backend| services[backend].status = CheckStatus::Critical);
    services
}

/// Returns the catalogue with another instance at the address of the first backend.
fn with_replaced_instance(site: &Site) -> Vec<Service> {
    let mut services = site.healthy_services();
    services[0].id = "l-new".into();
    services
}

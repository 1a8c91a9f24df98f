//! Starts and stops the processes, stand-ins and clients of one schedule.

use crate::client::{Behaviour, Client};
use crate::gatekeeper::{Gatekeeper, Program};
use crate::history::{Recorder, SchedulingDelay};
use crate::settings::{Addresses, Settings};
use crate::stand_ins::{Backend, Counter, Discovery, SharedList};
use fault_harness::ports::free_address;
use fault_harness::sync::lock;
use fault_harness::thread::spawn;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Number of clients of each gatekeeper.
const CLIENTS_PER_GATEKEEPER: usize = 4;
/// A process is killed if, after SIGTERM, it has not exited within the longest deadline of a class plus this time.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Sleep time of the thread that measures the harness's own scheduling delay.
const DELAY_PROBE_INTERVAL: Duration = Duration::from_millis(5);
/// Minimum scheduling delay that is recorded.
const MIN_RECORDED_DELAY: Duration = Duration::from_millis(15);

/// The gatekeepers of one schedule with their stand-ins and clients.
pub struct Site {
    /// The settings that the site runs with.
    pub settings: Arc<Settings>,
    /// Collects the history of the run.
    pub recorder: Recorder,
    /// The gatekeepers, in the order of their [`GatekeeperIndex`](crate::history::GatekeeperIndex).
    pub gatekeepers: Vec<Arc<Gatekeeper>>,
    /// The gatekeepers' discovery agents, in the same order.
    pub discoveries: Vec<Discovery>,
    /// The endpoint list that the discovery agents serve.
    pub list: SharedList,
    /// The quota counter, which all gatekeepers share.
    pub counter: Counter,
    /// The backends, in the order of their [`BackendIndex`](crate::history::BackendIndex).
    pub backends: Vec<Backend>,
    /// Rates of the clients' misbehaviour.
    pub behaviour: Arc<Behaviour>,
    clients: Mutex<Vec<JoinHandle<()>>>,
    seed: u64,
}

impl Site {
    /// Starts all stand-ins and all gatekeepers, and waits until the gatekeepers serve.
    ///
    /// # Errors
    ///
    /// A stand-in or a gatekeeper cannot be started, or its files cannot be written.
    pub fn start(seed: u64, settings: Settings, program: &Program, directory: &Path) -> io::Result<Self> {
        let recorder = Recorder::default();
        start_delay_probe(&recorder)?;
        let counter_address = free_address()?;
        let counter = Counter::start(counter_address)?;
        let mut backends = Vec::new();
        let mut backend_addresses: Vec<SocketAddr> = Vec::new();
        for index in 0..settings.backends {
            let address = free_address()?;
            backends.push(Backend::start(address, index, &recorder)?);
            backend_addresses.push(address);
        }
        let list = SharedList::new(&backend_addresses, &recorder);
        let (mut gatekeepers, mut discoveries) = (Vec::new(), Vec::new());
        for index in 0..settings.gatekeepers {
            let (listen, discovery) = (free_address()?, free_address()?);
            discoveries.push(Discovery::start(discovery, &list, index)?);
            let gatekeeper = Gatekeeper::new(index, listen, program.clone(), directory, &recorder)?;
            let addresses = Addresses { listen, discovery, counter: counter_address };
            gatekeeper.write_config(&settings.config(index, addresses))?;
            gatekeeper.start(0)?;
            gatekeepers.push(gatekeeper);
        }
        for gatekeeper in &gatekeepers {
            gatekeeper.wait_until_ready();
        }
        Ok(Self {
            settings: Arc::new(settings),
            recorder,
            gatekeepers,
            discoveries,
            list,
            counter,
            backends,
            behaviour: Arc::default(),
            clients: Mutex::default(),
            seed,
        })
    }

    /// Starts the clients of all gatekeepers, each in a thread.
    ///
    /// # Errors
    ///
    /// A thread cannot be created.
    pub fn start_clients(&self) -> io::Result<()> {
        for gatekeeper in &self.gatekeepers {
            let serials = Arc::new(AtomicU32::new(0));
            for number in 0..CLIENTS_PER_GATEKEEPER {
                let seed = self.seed ^ ((gatekeeper.index * CLIENTS_PER_GATEKEEPER + number) as u64) << 8;
                let client = Client {
                    gatekeeper: gatekeeper.clone(),
                    settings: self.settings.clone(),
                    behaviour: self.behaviour.clone(),
                    serials: serials.clone(),
                    recorder: self.recorder.clone(),
                    random: fastrand::Rng::with_seed(seed),
                };
                lock(&self.clients).push(spawn(move || client.run())?);
            }
        }
        Ok(())
    }

    /// Time after SIGTERM at which a process that has not exited is killed.
    pub fn kill_after(&self) -> Duration {
        let deadlines = self.settings.classes.iter().map(|class| class.deadline);
        deadlines.max().unwrap_or_default() + KILL_MARGIN
    }

    /// Stops the clients, and then the gatekeepers.
    pub fn stop(&self) {
        self.behaviour.is_over.store(true, Ordering::Relaxed);
        for client in lock(&self.clients).drain(..) {
            // A client that has panicked recorded its earlier requests correctly.
            let _ = client.join();
        }
        let kill_after = self.kill_after();
        let stop_threads: Vec<_> = self
            .gatekeepers
            .iter()
            .cloned()
            .map(|gatekeeper| std::thread::spawn(move || gatekeeper.stop(kill_after)))
            .collect();
        stop_threads.into_iter().for_each(|thread| drop(thread.join()));
    }
}

/// Starts a thread that measures and records the harness's own scheduling delays.
fn start_delay_probe(recorder: &Recorder) -> io::Result<()> {
    let recorder = recorder.clone();
    // The thread runs until the process of the harness exits.
    spawn(move || {
        loop {
            let before = Instant::now();
            std::thread::sleep(DELAY_PROBE_INTERVAL);
            let delay = before.elapsed().saturating_sub(DELAY_PROBE_INTERVAL);
            if delay > MIN_RECORDED_DELAY {
                let ended = recorder.now();
                recorder.record(|history| history.delays.push(SchedulingDelay { ended, delay }));
            }
        }
    })?;
    Ok(())
}

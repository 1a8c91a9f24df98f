//! The processes and stand-ins of one schedule.

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

/// Clients of each gatekeeper.
const CLIENTS: usize = 4;
/// A process is killed if it has not exited within the longest deadline and this time after SIGTERM.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Interval of the heartbeat that measures the harness's own scheduling delay.
const HEARTBEAT: Duration = Duration::from_millis(5);
/// Minimum scheduling delay that is recorded.
const NOTABLE_DELAY: Duration = Duration::from_millis(15);

/// The site of one schedule.
pub struct Site {
    /// Its settings.
    pub settings: Arc<Settings>,
    /// Collects the history.
    pub recorder: Recorder,
    /// Its gatekeepers.
    pub gatekeepers: Vec<Arc<Gatekeeper>>,
    /// Their discovery agents, in the same order.
    pub discoveries: Vec<Discovery>,
    /// The endpoint list that they serve.
    pub list: SharedList,
    /// The counter.
    pub counter: Counter,
    /// The backends.
    pub backends: Vec<Backend>,
    /// How clients behave.
    pub behaviour: Arc<Behaviour>,
    clients: Mutex<Vec<JoinHandle<()>>>,
    seed: u64,
}

impl Site {
    /// Starts all stand-ins and all gatekeepers, and waits until these serve.
    ///
    /// # Errors
    ///
    /// Something cannot be started.
    pub fn start(seed: u64, settings: Settings, program: &Program, directory: &Path) -> io::Result<Self> {
        let recorder = Recorder::default();
        start_heartbeat(&recorder)?;
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

    /// Starts the clients.
    ///
    /// # Errors
    ///
    /// The system has no threads.
    pub fn start_clients(&self) -> io::Result<()> {
        for gatekeeper in &self.gatekeepers {
            let serials = Arc::new(AtomicU32::new(0));
            for number in 0..CLIENTS {
                let seed = self.seed ^ ((gatekeeper.index * CLIENTS + number) as u64) << 8;
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
            // One that panicked has recorded nothing wrong.
            let _ = client.join();
        }
        let kill_after = self.kill_after();
        let ending: Vec<_> = self
            .gatekeepers
            .iter()
            .cloned()
            .map(|gatekeeper| std::thread::spawn(move || gatekeeper.stop(kill_after)))
            .collect();
        ending.into_iter().for_each(|thread| drop(thread.join()));
    }
}

/// Records the harness's own scheduling delays.
fn start_heartbeat(recorder: &Recorder) -> io::Result<()> {
    let recorder = recorder.clone();
    // It ends with the process: a schedule leaves nothing else behind.
    spawn(move || {
        loop {
            let before = Instant::now();
            std::thread::sleep(HEARTBEAT);
            let delay = before.elapsed().saturating_sub(HEARTBEAT);
            if delay > NOTABLE_DELAY {
                let ended = recorder.now();
                recorder.record(|history| history.delays.push(SchedulingDelay { ended, delay }));
            }
        }
    })?;
    Ok(())
}

//! A gatekeeper on the platform: the RESP2 front, discovery, the counter, the admin service and hot restarts, wired together
//! from one configuration file.

mod config_file;
mod core;
mod reload;
mod running;
mod startup;

use crate::error::Error;
use crate::{log, signals};
use exchange::{PendingConnections, ShutdownBounds};
use running::Running;
use settings::appliance::LogFormat;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";
/// Environment variable that overrides the admin address of the configuration.
const ADMIN_VARIABLE: &str = "BALANCER_OPERATOR";

/// Limit on the deadline that determines the time of SIGKILL. SIGKILL follows SIGTERM no sooner than after the longest deadline
/// of all classes, or after this limit if the deadline is longer, plus [`KILL_MARGIN`].
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Minimum time from the end of the longest deadline to SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Time before SIGKILL at which all accepted requests must be answered, since a busy worker may be late.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Time after SIGTERM in which a request may still get a streamed answer. What SIGKILL cuts off of an answer is excused only if
/// its request arrived within [`KILL_MARGIN`] of SIGTERM, and the signal may be handled [`ANSWER_MARGIN`] late.
const STREAM_SUBMISSION_TIME: Duration = KILL_MARGIN.saturating_sub(ANSWER_MARGIN);
/// Time before the last answer at which the front stops accepting requests. Most requests are served within this time.
const LAST_ACCEPT_MARGIN: Duration = Duration::from_millis(600);

/// Serves until SIGTERM or SIGINT, then shuts down gracefully.
///
/// # Errors
///
/// The configuration is missing or invalid, or an address cannot be listened on.
pub fn run() -> Result<(), Error> {
    // The handlers are installed first, so that an early SIGHUP does not end the process.
    let signals = signals::install_handlers()?;
    let path = std::env::var(CONFIG_VARIABLE).map_err(|_| Error::NoConfigFile)?;
    let path = PathBuf::from(path);
    let mut file = config_file::read_at_start(&path)?;
    log::init(LogFormat::Plain)?;
    if let Some(address) = admin_address_override()? {
        file.config.admin = Some(address);
    }
    link::set_up();
    let running = startup::start(file, &path)?;
    let handler = SignalHandler { running: &running, path: &path };
    signals::serve_until_shutdown(signals, &running.listener, &handler);
    Ok(())
}

/// Reads the admin address in the environment. `None` if it is not set there.
fn admin_address_override() -> Result<Option<SocketAddr>, Error> {
    let Ok(value) = std::env::var(ADMIN_VARIABLE) else { return Ok(None) };
    match value.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(Error::InvalidAddress { variable: ADMIN_VARIABLE, value }),
    }
}

/// The running parts that signals act on, and the file that SIGHUP reads.
struct SignalHandler<'a> {
    running: &'a Running,
    path: &'a Path,
}

impl signals::SignalHandler for SignalHandler<'_> {
    fn reload(&self) {
        let reloaded = self.running.reload(self.path);
        if let Err(error) = &reloaded {
            tracing::warn!(%error, "reload failed, previous configuration kept in force");
        }
        self.running.admin.count_reload(reloaded.is_ok());
    }

    /// Clients may call a gatekeeper for seconds after SIGTERM, so it serves for as long as it can still answer before SIGKILL.
    /// After a hand-over the successor serves its clients.
    fn start_shutdown(&self) -> Duration {
        if self.running.hot_restart.has_handed_over() {
            return signals::MIN_OVERLAP;
        }
        let earliest_kill = self.longest_deadline().min(MAX_COUNTED_DEADLINE) + KILL_MARGIN;
        let answered_within = earliest_kill.saturating_sub(ANSWER_MARGIN);
        self.running.exchange.start_shutdown(ShutdownBounds {
            answers_within: answered_within,
            streams_submitted_within: STREAM_SUBMISSION_TIME,
        });
        answered_within.saturating_sub(LAST_ACCEPT_MARGIN).max(signals::MIN_OVERLAP)
    }

    /// The overlap also ends once a value is streamed, since the client may take seconds to read the value, or would have been
    /// streamed: requests of this kind are better served by another gatekeeper.
    fn must_end_overlap(&self) -> bool {
        let exchange = &self.running.exchange;
        let has_large_values = exchange.open_streams() > 0 || exchange.refused_streams() > 0;
        self.running.hot_restart.has_handed_over() || has_large_values
    }

    fn close_connections(&self) {
        self.running.admin.set_ending();
        self.running.front.drain();
    }

    fn is_accepting(&self) -> bool {
        self.running.listener.is_accepting()
    }

    fn open_connections(&self) -> usize {
        self.running.front.open_connections() + self.running.hot_restart.connections_in_transfer()
    }

    fn pending_connections(&self) -> PendingConnections {
        self.running.front.pending_connections()
    }

    fn longest_deadline(&self) -> Duration {
        self.running.longest_deadline.get()
    }
}

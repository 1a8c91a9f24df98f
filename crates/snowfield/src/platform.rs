//! A gatekeeper on the platform: its configuration, the RESP2 front, discovery, the counter, the admin service and hot
//! restarts.

mod config_file;
mod core;
mod reload;
mod startup;

use crate::error::Error;
use crate::{log, signals};
use settings::appliance::LogFormat;
use startup::Running;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Names the configuration file.
const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";
/// Overrides the operators' address of the configuration.
const ADMIN_VARIABLE: &str = "BALANCER_OPERATOR";

/// SIGKILL follows SIGTERM no sooner than after the longest deadline, of which no more than this counts ...
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// ... and so much later.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// All that is accepted after SIGTERM is answered this long before SIGKILL: a busy worker may be late by that.
const ANSWERED_BEFORE_KILL: Duration = Duration::from_millis(150);
/// Nothing new is accepted for this long before that: what is accepted last should still be served, and most is within this.
const LAST_ACCEPTED_BEFORE: Duration = Duration::from_millis(600);

/// Reads the configuration, serves until a signal, and answers what was accepted.
///
/// # Errors
///
/// Says what is missing or cannot be used.
pub fn run() -> Result<(), Error> {
    // Before all else: SIGHUP must not end the process, however early it comes.
    let signals = signals::catch()?;
    let path = std::env::var(CONFIG_VARIABLE).map_err(|_| Error::NoConfigFile)?;
    let path = PathBuf::from(path);
    let mut file = config_file::read_at_start(&path)?;
    log::init(LogFormat::Plain)?;
    if let Ok(value) = std::env::var(ADMIN_VARIABLE) {
        let address = value.parse();
        file.config.admin =
            Some(address.map_err(|_| Error::InvalidAddress { variable: ADMIN_VARIABLE, value })?);
    }
    link::set_up();
    let running = startup::start(file, &path)?;
    let handler = SignalHandler { running: &running, path: &path };
    signals::serve_until_end(signals, &running.listener, &handler);
    Ok(())
}

/// What signals act on, and the file that SIGHUP reads.
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

    /// For seconds clients may call a gatekeeper that is gone, so it serves for as long as it can answer before it is killed.
    fn start_shutdown(&self) -> Duration {
        if self.running.hot_restart.has_handed_over() {
            return signals::OVERLAP;
        }
        let killed_after = self.longest_deadline().min(MAX_COUNTED_DEADLINE) + KILL_MARGIN;
        let answered_within = killed_after.saturating_sub(ANSWERED_BEFORE_KILL);
        self.running.hot_restart.exchange.answer_all_within(answered_within);
        answered_within.saturating_sub(LAST_ACCEPTED_BEFORE).max(signals::OVERLAP)
    }

    /// A large value may take its client seconds.
    fn must_close(&self) -> bool {
        let restart = &self.running.hot_restart;
        restart.has_handed_over() || restart.exchange.open_streams() > 0
    }

    fn close_connections(&self) {
        self.running.admin.set_ending();
        self.running.front.close();
    }

    fn open_connections(&self) -> usize {
        self.running.front.open_connections() + self.running.hot_restart.connections_passing()
    }

    fn unanswered(&self) -> usize {
        self.running.hot_restart.exchange.unanswered()
    }

    fn longest_deadline(&self) -> Duration {
        Duration::from_micros(self.running.longest_deadline_us.load(Ordering::Relaxed))
    }
}

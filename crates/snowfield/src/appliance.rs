//! The appliance: a gatekeeper with the OpenAPI front, endpoint lists from Consul, the cluster and the live status.

mod startup;
mod status;

use crate::checked_config::CheckedConfig;
use crate::cluster_settings::{self, ClusterArguments};
use crate::error::Error;
use crate::{log, signals};
use exchange::PendingConnections;
use startup::Running;
use std::path::Path;
use std::time::Duration;

/// Serves until SIGTERM or SIGINT, then shuts down gracefully.
///
/// # Errors
///
/// A file is missing or invalid, or an address cannot be listened on.
pub fn serve(path: &Path) -> Result<(), Error> {
    // The handlers are installed first, so that an early SIGHUP does not end the process.
    let signals = signals::install_handlers()?;
    let checked = CheckedConfig::read(path)?;
    log::init(checked.config.log_format)?;
    link::set_up();
    let deadlines = checked.config.classes.iter().map(|class| class.deadline_ms);
    let longest_deadline = Duration::from_millis(deadlines.max().unwrap_or(0));
    let cluster_arguments = ClusterArguments::from_config(&checked.config, path)?;
    let running = startup::start(checked, cluster_arguments, path)?;
    let handler = SignalHandler { running: &running, longest_deadline, path };
    signals::serve_until_shutdown(signals, &running.listener, &handler);
    Ok(())
}

/// The running parts that signals act on, and the file that SIGHUP reads.
struct SignalHandler<'a> {
    running: &'a Running,
    longest_deadline: Duration,
    path: &'a Path,
}

impl signals::SignalHandler for SignalHandler<'_> {
    /// Reloads the settings of the cluster. A change of routes, tenants or plans needs a restart, since decisions on requests in
    /// flight depend on these settings.
    fn reload(&self) {
        match &self.running.cluster {
            Some(cluster) => {
                cluster_settings::reload(self.path, cluster, self.running.config_node.as_deref())
            }
            None => tracing::info!("reload ignored, changes need a restart"),
        }
    }

    fn close_connections(&self) {
        // The instance leaves the cluster before the front drains, so that other instances take over during the drain.
        if let Some(registration) = &self.running.registration {
            registration.deregister();
        }
        if let Some(cluster) = &self.running.cluster {
            cluster.leave();
        }
        self.running.front.drain();
    }

    fn is_accepting(&self) -> bool {
        self.running.listener.is_accepting()
    }

    fn open_connections(&self) -> usize {
        self.running.front.open_connections()
    }

    fn pending_connections(&self) -> PendingConnections {
        self.running.front.pending_connections()
    }

    fn longest_deadline(&self) -> Duration {
        self.longest_deadline
    }
}

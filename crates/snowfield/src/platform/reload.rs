//! A new configuration at SIGHUP.

use super::config_file::{self, BackendTimeouts, ConfigFile};
use super::startup::Running;
use crate::admin_service::Names;
use crate::error::Error;
use settings::platform::PlatformConfig;
use settings::{KeySet, Numbering};
use std::path::Path;
use std::sync::atomic::Ordering;

/// The keys, classes and plans of the configuration in force.
pub(super) struct InForce {
    pub(super) keys: KeySet,
    pub(super) numbering: Numbering,
}

impl Running {
    /// Takes the file as it is now, all of it or nothing. Runs on a thread with enough stack to parse JSON, while the worker
    /// continues to serve.
    ///
    /// # Errors
    ///
    /// The file cannot be used; nothing has changed.
    pub(super) fn reload(&self, path: &Path) -> Result<(), Error> {
        let ConfigFile { config, keys } = config_file::read(path)?;
        let mut in_force = link::locked(&self.in_force);
        in_force.keys.check_included_in(&keys).map_err(Error::settings(path))?;
        let mut numbering = in_force.numbering.clone();
        let mut settings = numbering.update(&config).map_err(Error::settings(path))?;
        settings.shared_counter &= self.counter.is_some();
        let load_metrics = settings.load_metrics.clone();
        let exchange = &self.hot_restart.exchange;
        exchange
            .update_settings(settings)
            .map_err(|source| Error::PolicyOfFile { path: path.to_owned(), source })?;
        // A class has its name before any of its requests can end, and is accepted last.
        self.admin.set_names(Names { classes: numbering.class_names(), plans: numbering.plan_names() });
        let timeouts = BackendTimeouts::of(&config);
        self.hot_restart.pools.set_timeouts(timeouts.connect, timeouts.idle);
        self.hot_restart.pools.protocol().set_columns(&load_metrics);
        self.longest_deadline_us.fetch_max(config_file::longest_deadline_us(&config), Ordering::Relaxed);
        self.front.set_rules(config_file::request_rules(&config, &numbering));
        let names: Vec<&str> = numbering.classes().map(|class| class.name).collect();
        tracing::info!(classes = names.join(" "), "configuration reloaded");
        self.move_connections(&config);
        *in_force = InForce { keys, numbering };
        Ok(())
    }

    /// Connects to discovery and the counter at the addresses of a new configuration.
    fn move_connections(&self, config: &PlatformConfig) {
        let changed = self.watch.set_address(config.discovery);
        tracing::info!(address = %config.discovery, changed, "discovery address reloaded");
        match (&self.counter, config.counter) {
            (Some(client), Some(address)) => {
                let changed = client.set_address(address);
                tracing::info!(%address, changed, "quota counter address reloaded");
            }
            (None, Some(address)) => {
                tracing::info!(%address, "quota counter not in use before a restart");
            }
            // A file without the counter's key was rejected before.
            (_, None) => {}
        }
    }
}

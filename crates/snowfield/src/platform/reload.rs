//! Reloading the configuration at SIGHUP.

use super::config_file::{self, BackendTimeouts, ConfigFile};
use super::running::{ConfigInForce, Running};
use crate::admin_service::PolicyNames;
use crate::error::Error;
use settings::platform::PlatformConfig;
use std::path::Path;

impl Running {
    /// Reads the file again and applies it, completely or not at all. Call this on a thread with enough stack to parse JSON; the
    /// worker continues to serve.
    ///
    /// # Errors
    ///
    /// The file cannot be read or is invalid. The previous configuration stays in force.
    pub(super) fn reload(&self, path: &Path) -> Result<(), Error> {
        let ConfigFile { config, keys } = config_file::read(path)?;
        let mut in_force = link::lock_or_abort(&self.config_in_force);
        in_force.keys.check_all_present_in(&keys).map_err(Error::settings(path))?;
        let mut numbering = in_force.numbering.clone();
        let mut settings = numbering.update(&config).map_err(Error::settings(path))?;
        settings.shared_counter &= self.counter.is_some();
        let load_metrics = settings.load_metrics.clone();
        let policy_error = |source| Error::PolicyOfFile { path: path.to_owned(), source };
        self.exchange.update_settings(settings).map_err(policy_error)?;
        // The order matters: a new class needs its name before the first of its requests ends, and the front accepts its requests
        // only once it has the new rules.
        self.admin.set_names(PolicyNames { classes: numbering.class_names(), plans: numbering.plan_names() });
        let timeouts = BackendTimeouts::from_config(&config);
        self.pools.set_timeouts(timeouts.connect, timeouts.idle);
        self.pools.protocol().set_columns(&load_metrics);
        self.longest_deadline.include(config_file::longest_deadline(&config));
        self.front.set_rules(config_file::request_rules(&config, &numbering));
        let names: Vec<&str> = numbering.classes().map(|class| class.name).collect();
        tracing::info!(classes = names.join(" "), "configuration reloaded");
        self.update_addresses(&config);
        *in_force = ConfigInForce { keys, numbering };
        Ok(())
    }

    /// Connects to discovery and the counter at the addresses of a new configuration.
    fn update_addresses(&self, config: &PlatformConfig) {
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
            // If the new file has no counter address, no counter client exists: a file that lacks a key of the previous file
            // is rejected.
            (_, None) => {}
        }
    }
}

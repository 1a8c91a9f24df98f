//! The policy instances of one process. A panic of one instance does not affect the others.

use crate::settings;
use crate::wire::{Record, Reply};
use policy::{Action, Event, Policy, Timestamp};
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The running policy instances.
#[derive(Default)]
pub(crate) struct PolicyHost {
    /// The instances by the number of their gatekeeper.
    instances: BTreeMap<u32, Policy>,
    /// The warnings that were written to standard error, so that each is written only once.
    warnings: BTreeSet<String>,
    /// The actions that result from the current event. The buffer is reused for all events.
    actions: Vec<Action>,
}

impl PolicyHost {
    /// Applies one record and appends the resulting actions to the reply.
    pub(crate) fn apply_record(&mut self, now: Timestamp, record: Record, reply: &mut Reply) {
        match record {
            Record::Start { gatekeeper, seed, settings } => {
                self.start(now, gatekeeper, seed, &settings, reply);
            }
            Record::Kill { gatekeeper } => drop(self.instances.remove(&gatekeeper)),
            Record::Event { gatekeeper, event } => self.handle(now, gatekeeper, event, reply),
            Record::Unknown { code } => {
                self.warn_once(format!("skipped records with the unknown code {code}"))
            }
        }
    }

    /// Starts an instance, in place of an earlier one of the same gatekeeper.
    fn start(&mut self, now: Timestamp, gatekeeper: u32, seed: u64, settings: &str, reply: &mut Reply) {
        self.instances.remove(&gatekeeper);
        let instance = settings::parse(settings).and_then(|settings| {
            Policy::new(settings, seed, now).map_err(settings::ParseError::RejectedByPolicy)
        });
        match instance {
            Ok(instance) => drop(self.instances.insert(gatekeeper, instance)),
            Err(error) => reply.push_instance_failure(gatekeeper, &error.to_string()),
        }
    }

    /// Applies an event to an instance. A panic ends the instance and is reported to the simulator.
    fn handle(&mut self, now: Timestamp, gatekeeper: u32, event: Event, reply: &mut Reply) {
        let Some(instance) = self.instances.get_mut(&gatekeeper) else {
            self.warn_once(format!("skipped an event for gatekeeper {gatekeeper}, which is not running"));
            return;
        };
        let actions = &mut self.actions;
        actions.clear();
        let handled = catch_unwind(AssertUnwindSafe(|| instance.handle(now, event, actions)));
        if let Err(panic) = handled {
            self.instances.remove(&gatekeeper);
            reply.push_instance_failure(gatekeeper, &panic_message(panic.as_ref()));
            return;
        }
        for action in &self.actions {
            reply.push_action(gatekeeper, action);
        }
    }

    fn warn_once(&mut self, warning: String) {
        if !self.warnings.contains(&warning) {
            eprintln!("snowfield-simhost: {warning}");
            self.warnings.insert(warning);
        }
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    let literal = panic.downcast_ref::<&str>().copied();
    let formatted = || panic.downcast_ref::<String>().map(String::as_str);
    format!("the decisions panicked: {}", literal.or_else(formatted).unwrap_or("no text"))
}

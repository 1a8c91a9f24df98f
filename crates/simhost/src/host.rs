//! The instances of one process, each isolated from the others.

use crate::settings;
use crate::wire::{Record, Reply};
use policy::{Action, Event, Policy, Timestamp};
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// All instances, by the number of their gatekeeper.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<u32, Policy>,
    /// What has been written to standard error, each line once.
    warnings: BTreeSet<String>,
    actions: Vec<Action>,
}

impl Host {
    /// Applies one record and adds what follows to the reply.
    pub(crate) fn apply(&mut self, now: Timestamp, record: Record, reply: &mut Reply) {
        match record {
            Record::Start { gatekeeper, seed, settings } => {
                self.start(now, gatekeeper, seed, &settings, reply);
            }
            Record::Kill { gatekeeper } => drop(self.instances.remove(&gatekeeper)),
            Record::Event { gatekeeper, event } => self.handle(now, gatekeeper, event, reply),
            Record::Unknown { code } => self.warn_once(format!("skipped records of unknown code {code}")),
        }
    }

    fn start(&mut self, now: Timestamp, gatekeeper: u32, seed: u64, text: &str, reply: &mut Reply) {
        self.instances.remove(&gatekeeper);
        let instance = settings::parse(text)
            .and_then(|settings| Policy::new(settings, seed, now).map_err(settings::ParseError::Invalid));
        match instance {
            Ok(instance) => drop(self.instances.insert(gatekeeper, instance)),
            Err(error) => reply.push_broken(gatekeeper, &error.to_string()),
        }
    }

    /// A panic ends the one instance and is reported.
    fn handle(&mut self, now: Timestamp, gatekeeper: u32, event: Event, reply: &mut Reply) {
        let Some(instance) = self.instances.get_mut(&gatekeeper) else {
            self.warn_once(format!("skipped an event for gateway {gatekeeper}, which is not running"));
            return;
        };
        let actions = &mut self.actions;
        actions.clear();
        let handled = catch_unwind(AssertUnwindSafe(|| instance.handle(now, event, actions)));
        if let Err(panic) = handled {
            self.instances.remove(&gatekeeper);
            reply.push_broken(gatekeeper, &panic_text(panic.as_ref()));
            return;
        }
        for action in &self.actions {
            reply.push(gatekeeper, action);
        }
    }

    fn warn_once(&mut self, text: String) {
        if !self.warnings.contains(&text) {
            eprintln!("snowfield-simhost: {text}");
            self.warnings.insert(text);
        }
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
    format!("the decisions panicked: {}", text.unwrap_or_else(|| "no text".to_owned()))
}

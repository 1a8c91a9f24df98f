//! The adapter: speaks the simulator's wire and hosts gateways that share nothing.

#![forbid(unsafe_code)]

mod frame;
mod settings;

use frame::{Lists, Record, Reply};
use policy::Action;
use policy::Policy;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

fn main() -> ExitCode {
    // The text of a panic reaches the report as BROKEN; the hook would only repeat it.
    std::panic::set_hook(Box::new(|info| eprintln!("snowfield-simhost: {info}")));
    let input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    match serve(input, io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("snowfield-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the input ends.
fn serve(mut input: impl Read, mut output: impl Write) -> io::Result<()> {
    let mut lists = Lists::new();
    let mut host = Host::default();
    while let Some(batch) = frame::read_batch(&mut input)? {
        let mut reply = Reply::default();
        for record in batch.records(&mut lists)? {
            host.take(batch.clock, record, &mut reply);
        }
        output.write_all(&reply.into_bytes(batch.number))?;
        output.flush()?;
    }
    Ok(())
}

/// The gateways of this process, each wholly apart from the others.
#[derive(Default)]
struct Host {
    gateways: BTreeMap<u32, Policy>,
    told: BTreeSet<String>,
    actions: Vec<Action>,
}

impl Host {
    fn take(&mut self, now: u64, record: Record, reply: &mut Reply) {
        match record {
            Record::Start { gateway, seed, settings } => {
                self.gateways.remove(&gateway);
                let made = settings::parse(&settings)
                    .and_then(|s| Policy::new(s, seed, now).map_err(|error| error.to_string()));
                match made {
                    Ok(instance) => {
                        self.gateways.insert(gateway, instance);
                    }
                    Err(text) => reply.push_broken(gateway, &text),
                }
            }
            Record::Kill { gateway } => {
                self.gateways.remove(&gateway);
            }
            Record::Event { gateway, event } => {
                let Some(instance) = self.gateways.get_mut(&gateway) else {
                    self.tell_once(format!("skipped an event for gateway {gateway}, which is not running"));
                    return;
                };
                let actions = &mut self.actions;
                actions.clear();
                let outcome = catch_unwind(AssertUnwindSafe(|| instance.handle(now, event, actions)));
                match outcome {
                    Ok(()) => self.actions.iter().for_each(|action| reply.push(gateway, action)),
                    Err(panic) => {
                        self.gateways.remove(&gateway);
                        reply.push_broken(gateway, &panic_text(panic.as_ref()));
                    }
                }
            }
            Record::Unknown { code } => self.tell_once(format!("skipped records of unknown code {code}")),
        }
    }

    fn tell_once(&mut self, text: String) {
        if !self.told.contains(&text) {
            eprintln!("snowfield-simhost: {text}");
            self.told.insert(text);
        }
    }
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|s| (*s).to_owned());
    let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
    format!("the decisions panicked: {}", text.unwrap_or_else(|| "no text".to_owned()))
}

//! Hosts many instances of the policy for the simulator: batches of events on standard input, replies on standard output.

#![forbid(unsafe_code)]

mod host;
mod settings;
mod wire;

use host::PolicyHost;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use wire::{EndpointLists, Reply, WireError, read_batch};

/// Capacity of the input buffer in bytes.
const INPUT_BUFFER_BYTES: usize = 1 << 16;

fn main() -> ExitCode {
    // The simulator receives the message of a panic in a reply. The default hook would also write a backtrace to standard error.
    std::panic::set_hook(Box::new(|info| eprintln!("snowfield-simhost: {info}")));
    let input = io::BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    match serve(input, io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("snowfield-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads batches and writes a reply to each, until the input ends.
fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), WireError> {
    let mut lists = EndpointLists::default();
    let mut host = PolicyHost::default();
    while let Some(batch) = read_batch(&mut input)? {
        let mut reply = Reply::default();
        for record in batch.records(&mut lists)? {
            host.apply_record(batch.time, record, &mut reply);
        }
        output.write_all(&reply.into_bytes(batch.number))?;
        output.flush()?;
    }
    Ok(())
}

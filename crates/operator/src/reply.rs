//! One-line replies to all commands but `telemetry`.

use std::fmt::Display;

/// Formats the one-line reply to a command: `OK`, or `ERR` and the error's text. The text must not contain a line break.
pub fn reply(result: Result<(), impl Display>) -> String {
    match result {
        Ok(()) => "OK\n".to_owned(),
        Err(reason) => format!("ERR {reason}\n"),
    }
}

#[cfg(test)]
mod tests;

//! One-line replies.

use std::fmt::Display;

/// Formats the reply to a command that succeeded, or failed with this error.
pub fn reply(result: Result<(), impl Display>) -> String {
    match result {
        Ok(()) => "OK\n".to_owned(),
        Err(reason) => format!("ERR {reason}\n"),
    }
}

#[cfg(test)]
mod tests;

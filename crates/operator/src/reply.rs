//! Replies of one line.

use std::fmt::Display;

/// The reply to a command that was carried out, or failed for this reason.
pub fn reply(result: Result<(), impl Display>) -> String {
    match result {
        Ok(()) => "OK\n".to_owned(),
        Err(reason) => format!("ERR {reason}\n"),
    }
}

#[cfg(test)]
mod tests;

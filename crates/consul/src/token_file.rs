//! The ACL token, read from a file that may change at any time.

use crate::error::TokenError;
use crate::sync::locked;
use std::path::PathBuf;
use std::sync::Mutex;

/// Maximum length of a token in bytes. Consul generates tokens of 36 bytes.
const MAX_TOKEN_BYTES: usize = 256;

/// A token file, read before each request. No error text or log line of this module contains a token.
#[derive(Debug, Default)]
pub struct TokenFile {
    path: Option<PathBuf>,
    last: Mutex<LastRead>,
}

#[derive(Debug, Default)]
struct LastRead {
    /// The last valid token.
    token: Option<String>,
    /// Whether the last read failed. Only the first of consecutive failures is logged.
    is_failing: bool,
}

impl TokenFile {
    /// Creates a reader of this file. Without a path there is no token.
    pub fn new(path: Option<PathBuf>) -> Self {
        Self { path, last: Mutex::default() }
    }

    /// Reads the token from the file and trims it.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or does not contain a token.
    pub fn read(&self) -> Result<Option<String>, TokenError> {
        let Some(path) = &self.path else { return Ok(None) };
        let text = std::fs::read_to_string(path)
            .map_err(|source| TokenError::Unreadable { path: path.clone(), source })?;
        let token = text.trim();
        if !is_valid_token(token) {
            return Err(TokenError::NoToken { path: path.clone() });
        }
        Ok(Some(token.to_owned()))
    }

    /// Returns the token for the next request. If the file cannot be read, the last valid token stays in use.
    pub fn current(&self) -> Option<String> {
        let mut last = locked(&self.last);
        match self.read() {
            Ok(token) => *last = LastRead { token, is_failing: false },
            Err(error) if !last.is_failing => {
                tracing::warn!(%error, "token file not usable, previous token kept in use");
                last.is_failing = true;
            }
            Err(_) => {}
        }
        last.token.clone()
    }
}

fn is_valid_token(text: &str) -> bool {
    (1..=MAX_TOKEN_BYTES).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
}

#[cfg(test)]
mod tests;

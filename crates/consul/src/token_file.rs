//! The ACL token of a file that may change at any time.

use crate::error::TokenError;
use crate::sync::locked;
use std::path::PathBuf;
use std::sync::Mutex;

/// The most bytes of a token; Consul's own are 36 long.
const MAX_TOKEN_BYTES: usize = 256;

/// A token in a file, read again for each request. No text of this module holds one.
#[derive(Debug, Default)]
pub struct TokenFile {
    path: Option<PathBuf>,
    last: Mutex<LastRead>,
}

#[derive(Debug, Default)]
struct LastRead {
    /// The last token that could be read.
    token: Option<String>,
    /// The last attempt to read it failed, and that is logged.
    is_failing: bool,
}

impl TokenFile {
    /// The token of this file, or no token at all.
    pub fn new(path: Option<PathBuf>) -> Self {
        Self { path, last: Mutex::default() }
    }

    /// Reads the token that is in the file now, trimmed.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or holds no token.
    pub fn read(&self) -> Result<Option<String>, TokenError> {
        let Some(path) = &self.path else { return Ok(None) };
        let text = std::fs::read_to_string(path)
            .map_err(|source| TokenError::Unreadable { path: path.clone(), source })?;
        let token = text.trim();
        let is_token = !token.is_empty()
            && token.len() <= MAX_TOKEN_BYTES
            && token.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_token {
            return Err(TokenError::NoToken { path: path.clone() });
        }
        Ok(Some(token.to_owned()))
    }

    /// The token for the next request. A file that cannot be read leaves the last one in use.
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

#[cfg(test)]
mod tests;

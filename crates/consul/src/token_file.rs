//! The ACL token of a file that may change at any time.

use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};

/// The most bytes of a token; Consul's own are 36 long.
const LONGEST: usize = 256;

/// A token in a file, read anew for each request. No text of this module holds one.
#[derive(Debug, Default)]
pub struct TokenFile {
    file: Option<PathBuf>,
    /// The last one that could be read, and whether the last try failed.
    held: Mutex<(Option<String>, bool)>,
}

impl TokenFile {
    /// The token of this file, or none at all.
    pub fn new(file: Option<PathBuf>) -> Self {
        Self { file, held: Mutex::default() }
    }

    /// What is in the file now, trimmed.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or holds no token.
    pub fn read(&self) -> Result<Option<String>, String> {
        let Some(path) = &self.file else { return Ok(None) };
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let token = text.trim();
        if token.is_empty() || token.len() > LONGEST || !token.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(format!("{}: it holds no token", path.display()));
        }
        Ok(Some(token.to_owned()))
    }

    /// The token for the next request. A file that cannot be read leaves the last one in use.
    pub fn current(&self) -> Option<String> {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        match self.read() {
            Ok(token) => *held = (token, false),
            Err(why) if !held.1 => {
                tracing::warn!("consul: the token file cannot be used ({why}); the last token stays");
                held.1 = true;
            }
            Err(_) => {}
        }
        held.0.clone()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_that_cannot_be_used_leaves_the_last_token() {
        let path = std::env::temp_dir().join(format!("snowfield-token-{}", std::process::id()));
        let token = TokenFile::new(Some(path.clone()));
        assert_eq!(token.current(), None);
        std::fs::write(&path, " one\n").expect("it is written");
        assert_eq!(token.current().as_deref(), Some("one"));
        for bad in ["", "two words", "\u{7}", &"x".repeat(LONGEST + 1)] {
            std::fs::write(&path, bad).expect("it is written");
            assert_eq!(token.current().as_deref(), Some("one"), "{bad:?}");
        }
        std::fs::write(&path, "two").expect("it is written");
        assert_eq!(token.current().as_deref(), Some("two"));
        std::fs::remove_file(&path).expect("it was there");
        assert_eq!(token.current().as_deref(), Some("two"));
        assert_eq!(TokenFile::new(None).current(), None);
    }
}

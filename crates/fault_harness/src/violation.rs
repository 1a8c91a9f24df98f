//! A rule that was broken.

use std::fmt;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule, in words that never change.
    pub rule: &'static str,
    /// When it was broken, since the begin of the schedule; none where that is not known.
    pub at: Option<Duration>,
    /// The gatekeeper that broke it; none where it is not one alone.
    pub gatekeeper: Option<String>,
    /// What was observed.
    pub text: String,
}

impl Violation {
    /// A violation of this rule, at no certain time.
    pub fn new(rule: &'static str, text: impl Into<String>) -> Self {
        Self { rule, at: None, gatekeeper: None, text: text.into() }
    }

    /// Adds when the rule was broken.
    pub fn at(self, at: Duration) -> Self {
        Self { at: Some(at), ..self }
    }

    /// Adds the gatekeeper that broke the rule.
    pub fn by(self, gatekeeper: impl Into<String>) -> Self {
        Self { gatekeeper: Some(gatekeeper.into()), ..self }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(at) = self.at {
            write!(f, "{:7.3} s", at.as_secs_f64())?;
        }
        if let Some(gatekeeper) = &self.gatekeeper {
            write!(f, " {gatekeeper}")?;
        }
        if self.at.is_some() || self.gatekeeper.is_some() {
            write!(f, ": ")?;
        }
        write!(f, "{}: {}", self.rule, self.text)
    }
}

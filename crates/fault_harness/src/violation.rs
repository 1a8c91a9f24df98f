//! Violations of rules, as checkers report them.

use std::fmt;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Text that identifies the rule in reports and tests. It never changes.
    pub rule: &'static str,
    /// When the rule was broken, since the start of the history's clock; none if that is not known.
    pub at: Option<Duration>,
    /// The gatekeeper that broke the rule; none if it was not one gatekeeper alone.
    pub gatekeeper: Option<String>,
    /// What was observed, in words for the report.
    pub text: String,
}

impl Violation {
    /// Creates a violation of a rule without a time or a gatekeeper.
    pub fn new(rule: &'static str, text: impl Into<String>) -> Self {
        Self { rule, at: None, gatekeeper: None, text: text.into() }
    }

    /// Sets the time when the rule was broken.
    pub fn at(self, at: Duration) -> Self {
        Self { at: Some(at), ..self }
    }

    /// Sets the gatekeeper that broke the rule.
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

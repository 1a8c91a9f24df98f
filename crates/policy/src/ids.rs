//! Identifiers, and the unit of time.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Microseconds: a duration, or a reading of the caller's clock.
pub type Micros = u64;

/// Microseconds a second.
pub(crate) const SECOND: f64 = 1e6;

/// Identifies a request within one gatekeeper while it is open.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId(pub u32);

/// Identifies a backend within one gatekeeper.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct BackendId(pub u32);

/// Identifies the tenant whose quota a request takes; the same at every gatekeeper.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TenantId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for BackendId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for TenantId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

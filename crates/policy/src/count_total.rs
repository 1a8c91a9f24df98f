//! The total of a tenant's count (the sum of all units added to the count at the shared counter), and how the
//! level of the tenant's bucket follows from the total.

use serde::{Deserialize, Serialize};

/// How the level of a tenant's bucket can be derived from the total of its count.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub(crate) enum LevelAccuracy {
    /// The total is the first one that this gatekeeper has read from this count, so it may contain spend that
    /// other gatekeepers reported earlier.
    #[default]
    Fresh,
    /// The level follows exactly from the total.
    Exact,
    /// The total lacks some spend, because the counter was silent or lost totals. The level follows the
    /// changes of the total only, until the next epoch begins with a new count.
    Diverged,
}

/// The total of a count, with the count's name.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct CountTotal {
    pub(crate) name: u64,
    pub(crate) total: f64,
}

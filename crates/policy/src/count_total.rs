//! A total of a tenant's count, and what it says about the tenant's bucket.

use serde::{Deserialize, Serialize};

/// What the total of a tenant's count says about its bucket.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub(crate) enum BucketView {
    /// The first total under a name: spend may have been reported under the name before.
    #[default]
    Fresh,
    /// The level is exact.
    Exact,
    /// Spend went unreported, while the counter was silent or because it lost totals: only changes of the total count until the next
    /// name.
    Diverged,
}

/// A total of a named count.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct CountTotal {
    pub(crate) name: u64,
    pub(crate) total: f64,
}

//! Faults that can be injected into a listener.

use std::time::Duration;

/// How a listener fails requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Requests are applied and answered.
    #[default]
    None,
    /// Requests are read but not applied, and never answered.
    Silent,
    /// Requests are applied, and their responses are not sent.
    ResponseLost,
    /// Requests are applied and answered after this delay.
    Delay(Duration),
    /// Requests are not applied, and are answered at once with this HTTP status.
    Status(u16),
    /// Requests are applied, and the connection is closed in the middle of the response.
    ResponseTruncated,
    /// Requests are not applied, and the connection is closed without a response.
    Closed,
}

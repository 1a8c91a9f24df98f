//! Why a client connection ends.

use crate::problem::Problem;

/// Why a client connection serves no more requests.
pub(crate) enum ConnectionEnd {
    /// The client has disconnected.
    ClientGone,
    /// It is between requests and closes gracefully. A request that crosses the close is unread, so the client may retry it.
    BetweenRequests,
    /// This response is sent before it closes.
    Problem(Problem),
}

/// Whether a client connection serves further requests.
pub(crate) type ServeResult = Result<(), ConnectionEnd>;

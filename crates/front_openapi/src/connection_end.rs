//! The reasons for which a client connection ends.

use crate::problem::Problem;

/// Why a client connection serves no more requests.
pub(crate) enum ConnectionEnd {
    /// The client has disconnected, so no response can reach it.
    ClientGone,
    /// The connection is between requests and closes gracefully. A request that arrives during the close stays unread, so the
    /// client may retry it.
    BetweenRequests,
    /// The connection closes after this response is sent.
    Problem(Problem),
}

/// `Ok` while a client connection serves further requests, otherwise the reason why it ends.
pub(crate) type ServeResult = Result<(), ConnectionEnd>;

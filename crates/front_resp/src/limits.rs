//! Limits of client connections.

use std::time::Duration;

/// Bytes of one read at most.
pub(crate) const MAX_READ: usize = 8 * 1024;
/// An empty buffer larger than this is freed.
pub(crate) const MAX_KEPT_BUFFER: usize = 4 * MAX_READ;
/// Requests of one connection that may wait for answers; more are rejected at once.
pub(crate) const MAX_WAITING: usize = 64;
/// Commands of one connection in its answer queue: more is an error, so that the queue stays bounded.
pub(crate) const MAX_QUEUED: usize = 1024;
/// Bytes of a streamed answer that wait for the socket, before more of it is read.
pub(crate) const STREAM_CHUNK: usize = 16 * 1024;
/// Bytes of answers that a client may leave unread before it is disconnected, and where all clients hold too much together.
pub(crate) const MAX_UNREAD: usize = 256 * 1024;
pub(crate) const MAX_UNREAD_UNDER_PRESSURE: usize = 16 * 1024;
/// Parts of the memory: for incomplete requests, for complete ones with the answers that wait for their turn, and for answers
/// that clients have not read.
pub(crate) const INCOMPLETE_PART: usize = 8;
pub(crate) const COMPLETE_PART: usize = 4;
pub(crate) const UNREAD_PART: usize = 8;
/// Bytes of an incomplete request that may always be held: any usual one fits in.
pub(crate) const USUAL_REQUEST: usize = 16 * 1024;
/// Clients send one command at a time. One that sends more than this at once gets its next turn after all others.
pub(crate) const MAX_BURST: usize = 16;
/// How long that takes.
pub(crate) const TURN: Duration = Duration::from_millis(1);
/// A connection without a request may be closed after this (the protocol); one that never sent a valid command is.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// A command must be complete this long after it began: a head may take a client 2 s. With the time between two sweeps, what is
/// never complete has its error within the 3 s in which it is owed.
pub(crate) const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_250);
/// The same, from the connection's start, for one that has never sent a complete command.
pub(crate) const FIRST_COMMAND_TIMEOUT: Duration = Duration::from_millis(2_400);
/// Clients send their request as soon as they are connected: one that has sent none after this makes room for others when the
/// table is full. Bad clients connect by the hundred and send nothing, or no more than `PING`.
pub(crate) const UNUSED_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a client whose connection ends may take to read the last answer.
pub(crate) const LINGER: Duration = Duration::from_millis(400);
/// After an error nothing more is read from its connection for this long, so that one that repeats it takes little work.
pub(crate) const ERROR_PENALTY: Duration = Duration::from_millis(20);
/// Pause between two checks for room in a full table.
pub(crate) const ROOM_CHECK: Duration = Duration::from_millis(2);
/// How many reads of a connection that is ending see its client leave, before the rest is left to the system.
pub(crate) const READS_WHILE_ENDING: usize = 8;

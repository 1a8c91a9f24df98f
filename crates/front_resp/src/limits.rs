//! Limits and timeouts of client connections.

use std::time::Duration;

/// Maximum bytes of one read.
pub(crate) const MAX_READ_BYTES: usize = 8 * 1024;
/// Maximum capacity of a read buffer that is kept when it is empty. A larger one is freed, since every idle connection may keep
/// one.
pub(crate) const MAX_RETAINED_BUFFER_BYTES: usize = 2 * 1024;
/// Maximum number of requests in flight on one connection. Further requests are rejected at once.
pub(crate) const MAX_IN_FLIGHT: usize = 64;
/// Maximum number of commands in a connection's answer queue. A client that sends more gets an error, so that the queue stays
/// bounded.
pub(crate) const MAX_PIPELINED: usize = 1024;
/// Bytes of a streamed answer that may wait for the socket before more of it is read (backpressure).
pub(crate) const STREAM_CHUNK_BYTES: usize = 16 * 1024;
/// Bytes of answers that a client may leave unread before it is disconnected.
pub(crate) const MAX_UNREAD_BYTES: usize = 256 * 1024;
/// The limit in place of [`MAX_UNREAD_BYTES`] while all clients together exceed their budget of unread bytes.
pub(crate) const MAX_UNREAD_BYTES_UNDER_PRESSURE: usize = 16 * 1024;
/// The budget for incomplete commands is the process's memory divided by this number.
pub(crate) const INCOMPLETE_MEMORY_DIVISOR: usize = 8;
/// The budget for complete requests and for answers that wait for earlier ones is the process's memory divided by this number.
pub(crate) const COMPLETE_MEMORY_DIVISOR: usize = 4;
/// The budget for answers that clients have not read is the process's memory divided by this number.
pub(crate) const UNREAD_MEMORY_DIVISOR: usize = 8;
/// An incomplete command of at least this size may be delayed or shed to save memory. Typical requests are smaller.
pub(crate) const TYPICAL_REQUEST_BYTES: usize = 16 * 1024;
/// An incomplete command of fewer bytes than this is never delayed or shed.
pub(crate) const MIN_SHEDDABLE_BYTES: usize = 1024;
/// Commands that a client may pipeline in one read before its connection yields to others. Typical clients send one at a time.
pub(crate) const MAX_BURST_COMMANDS: usize = 16;
/// Time for which a connection yields to others after a burst.
pub(crate) const YIELD_TIME: Duration = Duration::from_millis(1);
/// Idle timeout of the protocol, after which a connection without a request in flight may be closed. A connection whose client
/// has never sent a valid command is always closed.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// A command must be complete this long after its first byte. The protocol allows 2 s for the head of a command and requires the
/// error within 3 s. The interval between two sweeps adds to this time.
pub(crate) const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_250);
/// Timeout of a client's first command, counted from the start of the connection.
pub(crate) const FIRST_COMMAND_TIMEOUT: Duration = Duration::from_millis(2_400);
/// Time after which a connection without any request may be evicted. Clients send their request as soon as they are connected.
/// Misbehaving clients open hundreds of connections and send nothing, or only `PING`.
pub(crate) const UNUSED_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for a client to read the last answer of a connection that is being closed.
pub(crate) const LINGER_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause in reading from a connection after an error, so that a client that repeats the error costs little work.
pub(crate) const ERROR_READ_DELAY: Duration = Duration::from_millis(20);
/// Interval between two checks for free capacity: in the connection table, or in a memory budget.
pub(crate) const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Maximum number of reads from an ending connection, which serve to notice that the client disconnects. TCP flow control stops
/// a client that sends more.
pub(crate) const MAX_READS_WHILE_ENDING: usize = 8;

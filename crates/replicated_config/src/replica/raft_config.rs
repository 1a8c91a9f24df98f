//! The configuration of the Raft library.

use crate::ids::ReplicaId;
use crate::limits::MAX_TEXT_BYTES;
use crate::log_position::LogIndex;
use raft::{Config, ReadOnlyOption};

/// Interval between a leader's heartbeats in ticks.
const HEARTBEAT_TICKS: usize = 2;
/// Election timeout of the first replica in ticks, counted from the last heartbeat.
const ELECTION_TICKS: usize = 16;
/// Difference between the election timeouts of successive replicas in ticks. The difference makes simultaneous elections rare
/// without random numbers, so that a simulated run can be repeated.
const ELECTION_STAGGER_TICKS: usize = 4;
/// Maximum number of unanswered append messages to one replica.
const MAX_INFLIGHT_APPENDS: usize = 16;
/// Maximum total size of the uncommitted entries, as a number of texts of the maximum length.
const MAX_UNCOMMITTED_TEXTS: u64 = 8;

/// Returns the configuration of the replica at this index of the configured list. `applied` is the index of the last
/// applied entry.
pub(super) fn raft_config(id: ReplicaId, index_in_list: usize, applied: LogIndex) -> Config {
    let election_ticks = ELECTION_TICKS + ELECTION_STAGGER_TICKS * index_in_list;
    Config {
        id: id.0,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        applied: applied.0,
        max_size_per_msg: MAX_TEXT_BYTES as u64,
        max_inflight_msgs: MAX_INFLIGHT_APPENDS,
        check_quorum: true,
        pre_vote: true,
        // The library draws the timeout at random from this range, which holds one value.
        min_election_tick: election_ticks,
        max_election_tick: election_ticks + 1,
        read_only_option: ReadOnlyOption::Safe,
        max_uncommitted_size: MAX_UNCOMMITTED_TEXTS * MAX_TEXT_BYTES as u64,
        ..Config::default()
    }
}

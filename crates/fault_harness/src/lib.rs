//! Shared parts of the fault-injection harnesses. The packages `fault_injection` (sites of appliances and platforms whose links
//! can fail) and `platform_soak` (large sites of the platform) build their sites, faults and histories on this package.
//!
//! | module | content |
//! | --- | --- |
//! | [`process`] | a gatekeeper as a child process: its log, its signals, its exit |
//! | [`stand_ins`] | stand-ins for backends, the quota counter, and discovery with its endpoint list |
//! | [`client`], [`outcome`] | a client's connection, and how a request ended for its client |
//! | [`connections`], [`wire`] | accepting and ending connections, and the messages that are sent on them |
//! | [`schedule`], [`clock`], [`timeline`] | faults and their times, the clock of a schedule, and the injection of faults |
//! | [`rules`], [`violation`] | the rules that every site must keep, and their violations |
//! | [`ports`], [`test_directory`], [`digest`] | free addresses, scratch directories, digests of texts that must not change |
//! | [`sync`], [`thread`], [`wait`] | locks, threads, and waiting for conditions |
//!
//! A harness needs no privileges and uses only loopback addresses.

pub mod client;
pub mod clock;
pub mod connections;
pub mod digest;
pub mod outcome;
pub mod ports;
pub mod process;
pub mod rules;
pub mod schedule;
pub mod stand_ins;
pub mod sync;
pub mod test_directory;
pub mod thread;
pub mod timeline;
pub mod violation;
pub mod wait;
pub mod wire;

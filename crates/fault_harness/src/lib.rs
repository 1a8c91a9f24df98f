//! What every fault-injection harness shares. The packages `fault_injection` (sites of appliances and platforms whose links can
//! fail) and `platform_soak` (large sites of the platform path) build their sites, faults and histories on it.
//!
//! | module | what it holds |
//! | --- | --- |
//! | [`process`] | a gatekeeper as a child process: its log, its signals, its exit |
//! | [`stand_ins`] | the backend, the quota counter, the endpoint list and its watch |
//! | [`client`], [`outcome`] | a client's connection, and how a request ended for its client |
//! | [`connections`], [`wire`] | accepting and ending connections, and the messages on them |
//! | [`schedule`], [`clock`], [`timeline`] | faults with their times, the clock of a schedule, and injecting faults by it |
//! | [`rules`], [`violation`] | the rules that every site is checked for |
//! | [`ports`], [`test_directory`], [`digest`] | free addresses, scratch directories, digests of what must not change |
//! | [`sync`], [`thread`], [`wait`] | locks, threads and waits |
//!
//! A harness needs no privileges and stays on loopback.

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

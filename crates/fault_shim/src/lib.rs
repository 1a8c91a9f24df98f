//! A library for `LD_PRELOAD` that makes system calls of a process under test fail with the errors that Linux documents, and
//! steps its wall clock.
//!
//! Failure rates are read from the control block (package `fault_shim_control`) at each call. Without a control block, or with
//! all rates 0, every call is passed on unchanged. Only functions that a gatekeeper calls are interposed: those that the
//! standard library, `may` and `socket2` use for TCP sockets, waits, files and clocks.

mod clock;
mod control;
mod descriptors;
mod files;
mod next;
mod sockets;

//! The list of destinations that survives Consul, without I/O: answers, outages and time go in, lists and reasons come
//! out.
//!
//! [`answer`] reads what Consul's health page says of a service, [`agents`] says whom to ask next and when, [`list`] turns
//! answers into the list that is used, with its guards, [`saved`] is the list's form on disk, and [`register`] keeps this
//! program's own registration alive.
//!
//! Invariants:
//!
//! - An answer that cannot be used, for whatever reason, never replaces a list.
//! - What Consul marks as taking no work, or drops while most stay, is out of the list at once. Only a sudden loss of
//!   half the list or more, without a mark, is held for a stated time, and then only for those that still answer clients.
//! - Memory is bounded by the fleet and what has left it lately, however many ids have come and gone.
//! - A token is never part of a text.

pub mod agents;
pub mod answer;
pub mod list;
pub mod register;
pub mod saved;

pub use answer::{Health, Instance};
pub use list::{Catalogue, Entry, Guards, Reason, View};

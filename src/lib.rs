#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod control;
pub mod interface;
pub mod p2;
mod state;
mod store;
mod trend;

pub use control::{Carried, Gateway, Members};

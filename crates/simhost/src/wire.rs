//! The simulator's wire: batches of event records in, replies of action records out. Numbers are big-endian.

mod batch;
mod bytes;
mod error;
mod record;
mod reply;
#[cfg(test)]
mod tests;

pub(crate) use batch::read_batch;
pub(crate) use error::WireError;
pub(crate) use record::{EndpointLists, Record};
pub(crate) use reply::Reply;

//! The simulator's wire protocol: batches of event records in, replies of action records out. Numbers are big-endian.
//!
//! | module | contents |
//! | --- | --- |
//! | `batch` | batches: header, records and tail |
//! | `record` | event records |
//! | `endpoint_list` | the endpoint lists that records refer to |
//! | `tail` | the texts and lists behind the records of a batch |
//! | `bytes` | fields at fixed offsets |
//! | `reply` | replies of action records |
//! | `error` | errors of batches and records |

mod batch;
mod bytes;
mod endpoint_list;
mod error;
mod record;
mod reply;
mod tail;
#[cfg(test)]
mod tests;

pub(crate) use batch::read_batch;
pub(crate) use endpoint_list::EndpointLists;
pub(crate) use error::WireError;
pub(crate) use record::Record;
pub(crate) use reply::Reply;

//! An incremental RESP2 codec over byte slices.
//!
//! Each parser examines the bytes that have arrived. It returns a complete item, `None` if more bytes must arrive, or an error if
//! no further bytes could make the input valid. Parsers return ranges of the buffer: they copy nothing and do not recurse.

mod command;
mod element;
mod error;
mod query;

pub use command::{Command, command, put_bulk, put_command};
pub use element::{
    Element, MAX_ARRAY_ITEMS, MAX_BULK_BYTES, MAX_MESSAGE_BYTES, MAX_STREAMED_BULK_BYTES, bulk_head, element,
    integer_end, message_end,
};
pub use error::{Malformed, ParseResult};
pub use query::{Query, fields};

//! An incremental RESP2 codec over byte slices.
//!
//! Each parser examines the bytes that have arrived. It returns a complete item, `None` if more bytes must arrive, or an error if
//! no further bytes could make the input valid. Parsers return ranges of the buffer: they copy nothing and do not recurse.

mod command;
mod element;
mod error;
mod query;

pub use command::{Command, parse_command, put_bulk, put_command};
pub use element::{
    Element, MAX_ARRAY_ITEMS, MAX_BULK_BYTES, MAX_MESSAGE_BYTES, MAX_STREAMED_BULK_BYTES, bulk_head,
    integer_end, message_end, parse_element,
};
pub use error::{MalformedInput, ParseResult};
pub use query::{RequestCommand, named_values};

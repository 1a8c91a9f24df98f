//! HTTP/1.1 message framing on `httparse`, and the forwarding of messages to the next hop.
//!
//! Each parser takes the bytes that have arrived, and returns `None` if more must arrive. A message that two implementations
//! could frame differently is rejected, to prevent request smuggling (RFC 9112, section 11.2).

mod body;
mod chunked;
mod error;
mod fields;
mod percent_encoding;
mod request;
mod response;

pub use body::BodyReader;
pub use chunked::ChunkedDecoder;
pub use error::{HttpError, MalformedMessage};
pub use fields::{
    Framing, HeaderField, MAX_HEAD_BYTES, MAX_HEADER_FIELDS, has_list_token, header_values,
    write_end_to_end_fields,
};
pub use percent_encoding::percent_encode;
pub use request::{Request, RequestHead, parse_request_head};
pub use response::{
    FinalResponseHead, ParsedResponse, Response, ResponseHead, parse_final_response_head, parse_response,
    parse_response_head,
};

//! Splits a stream of JSON into its objects, and limits the nesting depth.
//!
//! The JSON parser needs a complete object, and it is recursive: deeply nested text overflows the stack, which aborts the
//! process. JSON from external sources is therefore checked here before it is parsed. The contents of objects are not
//! interpreted.

mod depth;
mod object_stream;

pub use depth::{MAX_DEPTH, exceeds_max_depth};
pub use object_stream::{ObjectStream, StreamError, StreamItem};

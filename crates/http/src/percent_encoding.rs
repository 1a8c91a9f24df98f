//! Percent-encoding of URL components.

use std::fmt::Write;

/// Percent-encodes all but the unreserved characters (RFC 3986, section 2.3), for use as a path segment or a query value.
pub fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a string cannot fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

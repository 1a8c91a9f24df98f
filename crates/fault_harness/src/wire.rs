//! A minimal codec of HTTP/1.1 and RESP2 for clients and stand-ins. It expects peers that follow the protocols.

use std::io::BufRead;

/// The load report that follows the value in a backend's RESP2 reply.
const LOAD_REPORT: &str = "inflight=7,queue=2,latency_ms=51.0";

fn read_line(from: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    (from.read_line(&mut text).ok()? > 0 && text.ends_with('\n')).then(|| text.trim_end().to_owned())
}

/// An HTTP/1.1 request or response.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// The request line of a request, or the status line of a response, without the line end.
    pub first_line: String,
    /// Header fields: names in lower case, and values.
    fields: Vec<(String, String)>,
    /// The body, with the length that `Content-Length` states; empty without that field.
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// The value of the header field with this name in lower case; none if the message does not have it.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: the target of a request, or the status code of a response.
    pub fn target_or_status(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one HTTP message; none if the connection ends first or the length of the body is malformed.
pub fn read_http_message(from: &mut impl BufRead) -> Option<HttpMessage> {
    let mut message = HttpMessage { first_line: read_line(from)?, ..HttpMessage::default() };
    loop {
        let text = read_line(from)?;
        let Some((name, value)) = text.split_once(':') else { break };
        message.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = message.field("content-length").map_or(Some(0), |length| length.parse().ok())?;
    message.body = vec![0; length];
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Encodes an HTTP message with this first line and body.
pub fn http_message(first_line: &str, body: &str) -> Vec<u8> {
    format!("{first_line}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Reads the rest of a bulk string whose length line was `$LENGTH`.
fn read_bulk_string(from: &mut impl BufRead, length: &str) -> Option<String> {
    let mut bytes = vec![0; length.parse::<usize>().ok()? + 2];
    from.read_exact(&mut bytes).ok()?;
    bytes.truncate(bytes.len() - 2);
    String::from_utf8(bytes).ok()
}

/// Reads one RESP2 command; none if the connection ends first or the bytes are no command.
pub fn read_resp_command(from: &mut impl BufRead) -> Option<Vec<String>> {
    let count: usize = read_line(from)?.strip_prefix('*')?.parse().ok()?;
    let mut argument = || {
        let line = read_line(from)?;
        read_bulk_string(from, line.strip_prefix('$')?)
    };
    (0..count).map(|_| argument()).collect()
}

/// Encodes a RESP2 command: an array of bulk strings.
pub fn resp_command(arguments: &[&str]) -> Vec<u8> {
    let items: String = arguments.iter().map(|a| format!("${}\r\n{a}\r\n", a.len())).collect();
    format!("*{}\r\n{items}", arguments.len()).into_bytes()
}

/// Reads a RESP2 reply: the value of a bulk string, the first value of an array, or the whole line of any other type. None if the
/// connection ends first or the bytes are no reply.
pub fn read_resp_reply(from: &mut impl BufRead) -> Option<String> {
    let first = read_line(from)?;
    match first.split_at_checked(1)? {
        ("$", length) => read_bulk_string(from, length),
        ("*", count) => {
            let items: Vec<Option<String>> =
                (0..count.parse::<usize>().ok()?).map(|_| read_array_item(from)).collect();
            items.into_iter().collect::<Option<Vec<_>>>()?.into_iter().next()
        }
        _ => Some(first),
    }
}

fn read_array_item(from: &mut impl BufRead) -> Option<String> {
    let is_null = from.fill_buf().ok()?.starts_with(b"$-1");
    if is_null { read_line(from) } else { read_resp_reply(from) }
}

/// Encodes a backend's RESP2 reply with this value and a fixed load report.
pub fn backend_reply(value: &str) -> Vec<u8> {
    format!("*3\r\n${}\r\n{value}\r\n$-1\r\n${}\r\n{LOAD_REPORT}\r\n", value.len(), LOAD_REPORT.len())
        .into_bytes()
}

#[cfg(test)]
mod tests;

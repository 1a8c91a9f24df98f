//! Just enough of HTTP/1.1 and RESP2 for clients and stand-ins that behave well.

use std::io::BufRead;

fn line(from: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    (from.read_line(&mut text).ok()? > 0 && text.ends_with('\n')).then(|| text.trim_end().to_owned())
}

/// An HTTP message: first line, fields with names in small letters, body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    fields: Vec<(String, String)>,
    /// The body, of the length that the head states.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The second word of the first line: a target or a status.
    pub fn second(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one HTTP message; none where the connection ends first.
pub fn message(from: &mut impl BufRead) -> Option<Message> {
    let mut message = Message { first: line(from)?, ..Message::default() };
    loop {
        let text = line(from)?;
        let Some((name, value)) = text.split_once(':') else { break };
        message.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = message.field("content-length").map_or(Some(0), |l| l.parse().ok())?;
    message.body = vec![0; length];
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// An HTTP message of this first line and body.
pub fn http(first: &str, body: &str) -> Vec<u8> {
    format!("{first}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Reads one RESP2 command.
pub fn command(from: &mut impl BufRead) -> Option<Vec<String>> {
    let count: usize = line(from)?.strip_prefix('*')?.parse().ok()?;
    (0..count)
        .map(|_| {
            let length: usize = line(from)?.strip_prefix('$')?.parse().ok()?;
            let mut bytes = vec![0; length + 2];
            from.read_exact(&mut bytes).ok()?;
            bytes.truncate(length);
            String::from_utf8(bytes).ok()
        })
        .collect()
}

/// One RESP2 command.
pub fn words(words: &[&str]) -> Vec<u8> {
    let items: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
    format!("*{}\r\n{items}", words.len()).into_bytes()
}

/// A RESP2 answer: the text of a line, or the first value of a bulk string or an array.
pub fn reply(from: &mut impl BufRead) -> Option<String> {
    let first = line(from)?;
    match first.split_at_checked(1)? {
        ("$", length) => {
            let mut bytes = vec![0; length.parse::<usize>().ok()? + 2];
            from.read_exact(&mut bytes).ok()?;
            bytes.truncate(bytes.len() - 2);
            String::from_utf8(bytes).ok()
        }
        ("*", count) => {
            let all: Vec<Option<String>> = (0..count.parse::<usize>().ok()?)
                .map(|_| {
                    let begins = from.fill_buf().ok()?.starts_with(b"$-1");
                    if begins { line(from) } else { reply(from) }
                })
                .collect();
            all.into_iter().collect::<Option<Vec<_>>>()?.into_iter().next()
        }
        _ => Some(first),
    }
}

/// A loan server's RESP2 answer with this value.
pub fn value(text: &str) -> Vec<u8> {
    format!("*3\r\n${}\r\n{text}\r\n$-1\r\n$34\r\ninflight=7,queue=2,latency_ms=51.0\r\n", text.len())
        .into_bytes()
}

//! What operators may ask of a running gatekeeper, and how it answers: calls of one line, replies that begin with `OK` or
//! `ERR`, and the text of the figures. No socket and no clock is in here, so that each form can be tested by itself.

mod figures;

pub use figures::{ClassFigures, Figures};

/// The most bytes of a line, its end not counted. A loan server's id is a few bytes long.
pub const LONGEST_LINE: usize = 512;

/// One call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process can serve.
    Ready,
    /// The figures.
    Telemetry,
    /// Take the loan server of this id out.
    Exclude(String),
    /// Use the loan server of this id again.
    Include(String),
}

/// Why a line is no call; the text goes back to the caller.
pub type Refusal = &'static str;

impl Call {
    /// Reads a line, without its end.
    ///
    /// # Errors
    ///
    /// The text says why it is no call.
    pub fn parse(line: &[u8]) -> Result<Self, Refusal> {
        if line.len() > LONGEST_LINE {
            return Err("the line is too long");
        }
        let text = std::str::from_utf8(line).map_err(|_| "the line is no text")?;
        let mut words = text.split_ascii_whitespace();
        let (name, id, more) = (words.next(), words.next(), words.next());
        if more.is_some() {
            return Err("too many words");
        }
        match (name, id) {
            (None, _) => Err("an empty line"),
            (Some("readyz"), None) => Ok(Self::Ready),
            (Some("telemetry"), None) => Ok(Self::Telemetry),
            (Some("readyz" | "telemetry"), Some(_)) => Err("this call takes no id"),
            (Some("exclude"), Some(id)) => Ok(Self::Exclude(id.to_owned())),
            (Some("include"), Some(id)) => Ok(Self::Include(id.to_owned())),
            (Some("exclude" | "include"), None) => Err("this call takes the id of a loan server"),
            (Some(_), _) => Err("unknown call; known are readyz, telemetry, exclude ID and include ID"),
        }
    }
}

/// The reply to a call that was done, or was not.
pub fn reply(done: Result<(), &str>) -> String {
    match done {
        Ok(()) => "OK\n".to_owned(),
        Err(why) => format!("ERR {why}\n"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_call_is_one_line() {
        assert_eq!(Call::parse(b"readyz"), Ok(Call::Ready));
        assert_eq!(Call::parse(b"telemetry\r"), Ok(Call::Telemetry));
        assert_eq!(Call::parse(b"exclude s-1"), Ok(Call::Exclude("s-1".into())));
        assert_eq!(Call::parse(b"include  s-1 "), Ok(Call::Include("s-1".into())));
        for bad in ["", " ", "READYZ", "readyz now", "exclude", "include a b", "exclude \u{e9} x", "stop"] {
            assert!(Call::parse(bad.as_bytes()).is_err(), "{bad:?}");
        }
        assert!(Call::parse(b"exclude \xff").is_err());
        assert!(Call::parse(&[b'x'; LONGEST_LINE + 1]).is_err());
    }

    #[test]
    fn garbage_is_refused_and_never_panics() {
        cuts::survives_garbage(b"exclude s-5be2a07c", |pieces| {
            if let Ok(Call::Exclude(id) | Call::Include(id)) = Call::parse(&pieces.concat()) {
                assert!(!id.is_empty());
            }
        });
    }

    #[test]
    fn a_refusal_is_one_line() {
        assert_eq!(reply(Ok(())), "OK\n");
        assert_eq!(reply(Err("no such loan server")), "ERR no such loan server\n");
    }
}

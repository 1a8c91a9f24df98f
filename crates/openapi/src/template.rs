//! Path templates: what they match and how two of them overlap.

use std::cmp::Ordering;
use std::fmt;

/// A path that back ends may read in different ways, so that a cheap route could stand in for a dear one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathError(pub &'static str);

impl fmt::Display for PathError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for PathError {}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Segment {
    /// These bytes.
    Literal(Vec<u8>),
    /// Any bytes, but at least one.
    Parameter,
}

/// A path whose segments are literal or parameters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Template(Vec<Segment>);

/// How the requests of two templates relate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Overlap {
    /// None in common.
    Apart,
    /// All in common: the same but for the parameters' names.
    Same,
    /// One is more concrete throughout.
    Nested,
    /// Some in common, and neither is more concrete throughout.
    Ambiguous,
}

impl Template {
    pub(crate) fn parse(path: &str) -> Result<Self, String> {
        if !path.starts_with('/') {
            return Err("a path must begin with a slash".into());
        }
        let segment = |text: &str| {
            let named = text.strip_prefix('{').and_then(|t| t.strip_suffix('}'));
            match named {
                Some(name) if !name.is_empty() && !name.contains(['{', '}']) => Ok(Segment::Parameter),
                _ if text.contains(['{', '}']) => {
                    Err(format!("the segment {text:?} mixes text and parameters, which is not served"))
                }
                _ if text.contains(['?', '#']) => {
                    Err(format!("the segment {text:?} holds a query or a fragment"))
                }
                _ => decoded(text).map(Segment::Literal).map_err(|e| format!("the segment {text:?}: {e}")),
            }
        };
        path[1..].split('/').map(segment).collect::<Result<_, _>>().map(Self)
    }

    pub(crate) fn matches(&self, segments: &[Vec<u8>]) -> bool {
        let fits = |(own, given): (&Segment, &Vec<u8>)| match own {
            Segment::Literal(text) => text == given,
            Segment::Parameter => !given.is_empty(),
        };
        self.0.len() == segments.len() && self.0.iter().zip(segments).all(fits)
    }

    /// Of two that match one request and are not ambiguous, the greater is the more concrete.
    pub(crate) fn concreteness(&self, other: &Self) -> Ordering {
        let literals = |t: &Self| t.0.iter().filter(|s| matches!(s, Segment::Literal(_))).count();
        literals(self).cmp(&literals(other))
    }

    pub(crate) fn overlap(&self, other: &Self) -> Overlap {
        if self.0.len() != other.0.len() {
            return Overlap::Apart;
        }
        let (mut mine, mut theirs) = (false, false);
        for pair in self.0.iter().zip(&other.0) {
            match pair {
                (Segment::Literal(a), Segment::Literal(b)) if a != b => return Overlap::Apart,
                // A parameter takes no empty segment.
                (Segment::Literal(a), Segment::Parameter) | (Segment::Parameter, Segment::Literal(a))
                    if a.is_empty() =>
                {
                    return Overlap::Apart;
                }
                (Segment::Literal(_), Segment::Parameter) => mine = true,
                (Segment::Parameter, Segment::Literal(_)) => theirs = true,
                _ => {}
            }
        }
        match (mine, theirs) {
            (false, false) => Overlap::Same,
            (true, true) => Overlap::Ambiguous,
            _ => Overlap::Nested,
        }
    }
}

/// The segments of a request's path, percent-decoded, so that no spelling of a path escapes its route.
pub(crate) fn segments(path: &str) -> Result<Vec<Vec<u8>>, PathError> {
    let rest = path.strip_prefix('/').ok_or(PathError("the path does not begin with a slash"))?;
    rest.split('/').map(decoded).collect()
}

fn decoded(segment: &str) -> Result<Vec<u8>, PathError> {
    let mut out = Vec::with_capacity(segment.len());
    let mut bytes = segment.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digit = |b: Option<u8>| b.and_then(|b| char::from(b).to_digit(16));
        match (digit(bytes.next()), digit(bytes.next())) {
            (Some(high), Some(low)) => out.push((high * 16 + low) as u8),
            _ => return Err(PathError("a percent sign without two hexadecimal digits")),
        }
    }
    if out == b"." || out == b".." {
        return Err(PathError("a dot segment"));
    }
    if out.iter().any(|b| matches!(b, b'/' | b'\\' | 0)) {
        return Err(PathError("a slash, backslash or zero byte inside a segment"));
    }
    Ok(out)
}

//! Path templates: what they match, and how two of them overlap.

use crate::error::{PathError, TemplateError};
use std::cmp::Ordering;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Segment {
    /// These bytes.
    Literal(Vec<u8>),
    /// Any bytes, but at least one.
    Parameter,
}

/// A path whose segments are literals or parameters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Template(Vec<Segment>);

/// How the requests that two templates match relate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Overlap {
    /// No request matches both.
    Disjoint,
    /// The same requests match both: they differ in the names of parameters alone.
    Same,
    /// One is more concrete in some segment, and no less in any other.
    Nested,
    /// Some requests match both, and neither is more concrete in all segments.
    Ambiguous,
}

impl Template {
    pub(crate) fn parse(path: &str) -> Result<Self, TemplateError> {
        let segments = path.strip_prefix('/').ok_or(TemplateError::NoLeadingSlash)?;
        segments.split('/').map(Segment::parse).collect::<Result<_, _>>().map(Self)
    }

    /// Whether the decoded segments of a request's path match.
    pub(crate) fn matches(&self, segments: &[Vec<u8>]) -> bool {
        let is_same_length = self.0.len() == segments.len();
        is_same_length && self.0.iter().zip(segments).all(|(segment, bytes)| segment.matches(bytes))
    }

    /// Of two that match one request and are not ambiguous, the greater is the more concrete.
    pub(crate) fn compare_concreteness(&self, other: &Self) -> Ordering {
        self.literals().cmp(&other.literals())
    }

    fn literals(&self) -> usize {
        self.0.iter().filter(|segment| matches!(segment, Segment::Literal(_))).count()
    }

    pub(crate) fn overlap(&self, other: &Self) -> Overlap {
        if self.0.len() != other.0.len() {
            return Overlap::Disjoint;
        }
        let (mut more_concrete, mut less_concrete) = (false, false);
        for pair in self.0.iter().zip(&other.0) {
            match pair {
                (Segment::Literal(a), Segment::Literal(b)) if a != b => return Overlap::Disjoint,
                // A parameter matches no empty segment.
                (Segment::Literal(text), Segment::Parameter)
                | (Segment::Parameter, Segment::Literal(text))
                    if text.is_empty() =>
                {
                    return Overlap::Disjoint;
                }
                (Segment::Literal(_), Segment::Parameter) => more_concrete = true,
                (Segment::Parameter, Segment::Literal(_)) => less_concrete = true,
                _ => {}
            }
        }
        match (more_concrete, less_concrete) {
            (false, false) => Overlap::Same,
            (true, true) => Overlap::Ambiguous,
            _ => Overlap::Nested,
        }
    }
}

impl Segment {
    fn parse(text: &str) -> Result<Self, TemplateError> {
        const BRACES: [char; 2] = ['{', '}'];
        let parameter = text.strip_prefix('{').and_then(|rest| rest.strip_suffix('}'));
        if parameter.is_some_and(|name| !name.is_empty() && !name.contains(BRACES)) {
            return Ok(Self::Parameter);
        }
        if text.contains(BRACES) {
            return Err(TemplateError::MixedSegment(text.to_owned()));
        }
        if text.contains(['?', '#']) {
            return Err(TemplateError::QueryOrFragment(text.to_owned()));
        }
        let invalid = |source| TemplateError::Segment { segment: text.to_owned(), source };
        decode_segment(text).map(Self::Literal).map_err(invalid)
    }

    fn matches(&self, bytes: &[u8]) -> bool {
        match self {
            Self::Literal(text) => text == bytes,
            Self::Parameter => !bytes.is_empty(),
        }
    }
}

/// The segments of a request's path, percent-decoded, so that no spelling of a path escapes its route.
pub(crate) fn decode_path(path: &str) -> Result<Vec<Vec<u8>>, PathError> {
    let segments = path.strip_prefix('/').ok_or(PathError::NoLeadingSlash)?;
    segments.split('/').map(decode_segment).collect()
}

fn decode_segment(segment: &str) -> Result<Vec<u8>, PathError> {
    let mut decoded = Vec::with_capacity(segment.len());
    let mut bytes = segment.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let digit = |byte: Option<u8>| byte.and_then(|byte| char::from(byte).to_digit(16));
        match (digit(bytes.next()), digit(bytes.next())) {
            (Some(high), Some(low)) => decoded.push((high * 16 + low) as u8),
            _ => return Err(PathError::InvalidPercentEncoding),
        }
    }
    if decoded == b"." || decoded == b".." {
        return Err(PathError::DotSegment);
    }
    if decoded.iter().any(|byte| matches!(byte, b'/' | b'\\' | 0)) {
        return Err(PathError::SeparatorInSegment);
    }
    Ok(decoded)
}

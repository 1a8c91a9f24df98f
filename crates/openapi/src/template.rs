//! Path templates: matching of request paths, and overlap of two templates.

use crate::error::{PathError, TemplateError};

/// A segment of a template.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Segment {
    /// Matches a segment with exactly these bytes, after percent-decoding.
    Literal(Vec<u8>),
    /// Matches any segment that is not empty.
    Parameter,
}

/// A path whose segments are literals or parameters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Template(Vec<Segment>);

/// Relation between the sets of requests that two templates match.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Overlap {
    /// No request matches both templates.
    Disjoint,
    /// Both templates match the same requests: they differ only in the names of parameters.
    Same,
    /// One template is more specific in a segment, and at least as specific in all others.
    Nested,
    /// Some requests match both templates, and each template is more specific than the other in some segment.
    Ambiguous,
}

impl Template {
    pub(crate) fn parse(path: &str) -> Result<Self, TemplateError> {
        let segments = path.strip_prefix('/').ok_or(TemplateError::NoLeadingSlash)?;
        segments.split('/').map(Segment::parse).collect::<Result<_, _>>().map(Self)
    }

    /// Whether the decoded segments of a request path match this template.
    pub(crate) fn matches(&self, segments: &[Vec<u8>]) -> bool {
        let is_same_length = self.0.len() == segments.len();
        is_same_length && self.0.iter().zip(segments).all(|(segment, bytes)| segment.matches(bytes))
    }

    /// Number of literal segments. If two unambiguous templates match the same request, the one with more literal segments is the
    /// more specific one.
    pub(crate) fn specificity(&self) -> usize {
        self.0.iter().filter(|segment| matches!(segment, Segment::Literal(_))).count()
    }

    /// Determines how the requests matched by two templates overlap.
    pub(crate) fn overlap(&self, other: &Self) -> Overlap {
        if self.0.len() != other.0.len() {
            return Overlap::Disjoint;
        }
        let (mut more_specific, mut less_specific) = (false, false);
        for pair in self.0.iter().zip(&other.0) {
            match pair {
                (Segment::Literal(a), Segment::Literal(b)) if a != b => return Overlap::Disjoint,
                // A parameter does not match an empty segment, so no request matches both templates.
                (Segment::Literal(text), Segment::Parameter)
                | (Segment::Parameter, Segment::Literal(text))
                    if text.is_empty() =>
                {
                    return Overlap::Disjoint;
                }
                (Segment::Literal(_), Segment::Parameter) => more_specific = true,
                (Segment::Parameter, Segment::Literal(_)) => less_specific = true,
                _ => {}
            }
        }
        match (more_specific, less_specific) {
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

/// Splits a request path into percent-decoded segments, so that the route is found whatever characters of the path are encoded.
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

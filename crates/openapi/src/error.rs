//! Why a description, or several together, cannot be served, and why a path cannot be matched.

/// Descriptions that cannot be served.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// One description cannot be served.
    #[error("{description}: {source}")]
    Description {
        /// Its name.
        description: String,
        /// Why.
        source: DescriptionError,
    },
    /// One request could match either of two paths, and neither is more concrete in all segments.
    #[error(
        "ambiguous routes: {path} ({description}) and {other_path} ({other_description}) match the same requests"
    )]
    AmbiguousRoutes {
        /// The one path.
        path: String,
        /// Its description.
        description: String,
        /// The other path.
        other_path: String,
        /// Its description.
        other_description: String,
    },
}

/// A description that cannot be served.
#[derive(Debug, thiserror::Error)]
pub enum DescriptionError {
    /// Its JSON nests deeper than any description needs to.
    #[error("unreadable JSON: it nests too deep")]
    NestedTooDeep,
    /// It is no valid JSON, or a key occurs twice.
    #[error("unreadable JSON: {0}")]
    Json(#[from] simd_json::Error),
    /// It is no valid YAML, or a key occurs twice.
    #[error("unreadable YAML: {0}")]
    Yaml(#[from] yaml_serde::Error),
    /// It does not state its OpenAPI version.
    #[error("no OpenAPI version; only 3.x is served")]
    NoVersion,
    /// Its OpenAPI version is not supported.
    #[error("OpenAPI version {0:?} is not served; 3.0 to 3.2 are")]
    UnsupportedVersion(String),
    /// It has no `paths`.
    #[error("it has no paths")]
    NoPaths,
    /// Its paths hold no operation.
    #[error("it holds no operation")]
    NoOperations,
    /// One of its paths cannot be served.
    #[error("{path}: {source}")]
    Path {
        /// The path as described.
        path: String,
        /// Why.
        source: Box<DescriptionError>,
    },
    /// An `x-snowfield-` extension that is not known where it stands.
    #[error("{place} has {key}, which means nothing there")]
    UnknownExtension {
        /// Where it stands.
        place: String,
        /// Its name.
        key: String,
    },
    /// A key of `x-snowfield-default` that is not known.
    #[error("{place} has {key:?}, which means nothing there")]
    UnknownDefault {
        /// Whose default.
        place: String,
        /// The key.
        key: String,
    },
    /// An `x-snowfield-default` without any key.
    #[error("{0} states nothing")]
    EmptyDefault(String),
    /// Units that are no number above 0.
    #[error("the units of {0} are no number above 0")]
    InvalidUnits(String),
    /// A class or service that is no text, or an empty one.
    #[error("the {what} of {place} is no name")]
    InvalidName {
        /// `class` or `service`.
        what: &'static str,
        /// Whose.
        place: String,
    },
    /// No statement covers the units of an operation.
    #[error("{0} states no units (x-snowfield-units), and no x-snowfield-default covers it")]
    NoUnits(String),
    /// No statement covers the class of an operation.
    #[error("{0} states no class (x-snowfield-class), and no x-snowfield-default covers it")]
    NoClass(String),
    /// A method, or another key of a path item, that cannot be served.
    #[error("{0:?} cannot be served")]
    UnsupportedMethod(String),
    /// An operation that is no object, or a reference.
    #[error("{0} is no operation object")]
    NotAnOperation(String),
    /// A path item that is no object.
    #[error("it is no path item object")]
    NotAPathItem,
    /// A reference to another document.
    #[error("the reference {0:?} is not local")]
    RemoteReference(String),
    /// Another key beside a reference.
    #[error("{0:?} stands beside a reference, which OpenAPI leaves undefined")]
    KeyBesideReference(String),
    /// A reference to what does not exist.
    #[error("the reference {0:?} leads nowhere")]
    DanglingReference(String),
    /// A reference that leads back to itself, or through too many others.
    #[error("its references lead in a circle")]
    CircularReference,
    /// A server without a URL.
    #[error("a server has no url")]
    NoServerUrl,
    /// A server whose URL has a query, a fragment or unknown variables in its path.
    #[error("the server {0:?} has a base path that cannot be served")]
    UnsupportedBasePath(String),
    /// A server variable without a default.
    #[error("the server variable {0:?} has no default")]
    NoVariableDefault(String),
    /// The variables of the servers span more base paths than are served.
    #[error("its servers span too many base paths")]
    TooManyBasePaths,
    /// A path that is no valid template.
    #[error("{0}")]
    Template(#[from] TemplateError),
    /// Two operations with one method and, but for the names of parameters, one path.
    #[error("{method} {path} is claimed by {other_description} already, as {method} {other_path}")]
    DuplicateRoute {
        /// The method of both.
        method: String,
        /// The path of the later one.
        path: String,
        /// The description of the earlier one.
        other_description: String,
        /// The path of the earlier one.
        other_path: String,
    },
}

/// A path of a description that is no valid template.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TemplateError {
    /// It does not begin with a slash.
    #[error("a path must begin with a slash")]
    NoLeadingSlash,
    /// A segment is neither text nor one parameter.
    #[error("the segment {0:?} mixes text and parameters, which is not served")]
    MixedSegment(String),
    /// A segment holds a question mark or a number sign.
    #[error("the segment {0:?} holds a query or a fragment")]
    QueryOrFragment(String),
    /// A segment that backends may read in different ways.
    #[error("the segment {segment:?}: {source}")]
    Segment {
        /// The segment.
        segment: String,
        /// Why.
        source: PathError,
    },
}

/// A path that backends may read in different ways, so that a cheap route could stand in for an expensive one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PathError {
    /// It does not begin with a slash.
    #[error("the path does not begin with a slash")]
    NoLeadingSlash,
    /// A percent sign is not followed by two hexadecimal digits.
    #[error("a percent sign without two hexadecimal digits")]
    InvalidPercentEncoding,
    /// A segment is `.` or `..` after decoding.
    #[error("a dot segment")]
    DotSegment,
    /// A segment holds a separator or a zero byte after decoding.
    #[error("a slash, backslash or zero byte inside a segment")]
    SeparatorInSegment,
}

#[cfg(test)]
mod tests;

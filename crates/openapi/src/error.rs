//! Errors of descriptions, of their path templates and of request paths.

/// Why a set of descriptions cannot be served.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// One description cannot be served.
    #[error("{description}: {source}")]
    Description {
        /// Name of the description.
        description: String,
        /// The cause.
        source: DescriptionError,
    },
    /// A request could match two paths, and neither of them is at least as specific as the other in every segment.
    #[error(
        "ambiguous routes: {path} ({description}) and {other_path} ({other_description}) match the same requests"
    )]
    AmbiguousRoutes {
        /// The first path.
        path: String,
        /// Description of the first path.
        description: String,
        /// The second path.
        other_path: String,
        /// Description of the second path.
        other_description: String,
    },
}

/// Why a description cannot be served.
#[derive(Debug, thiserror::Error)]
pub enum DescriptionError {
    /// The JSON is nested too deeply.
    #[error("unreadable JSON: it nests too deep")]
    NestedTooDeep,
    /// The text is not valid JSON, or a key occurs twice.
    #[error("unreadable JSON: {0}")]
    Json(#[from] simd_json::Error),
    /// The text is not valid YAML, or a key occurs twice.
    #[error("unreadable YAML: {0}")]
    Yaml(#[from] yaml_serde::Error),
    /// The OpenAPI version is missing.
    #[error("no OpenAPI version; only 3.x is served")]
    NoVersion,
    /// The OpenAPI version is not supported.
    #[error("OpenAPI version {0:?} is not served; 3.0 to 3.2 are")]
    UnsupportedVersion(String),
    /// `paths` is missing.
    #[error("it has no paths")]
    NoPaths,
    /// The paths have no operation.
    #[error("it holds no operation")]
    NoOperations,
    /// A path cannot be served.
    #[error("{path}: {source}")]
    Path {
        /// The path as described.
        path: String,
        /// The cause.
        source: Box<DescriptionError>,
    },
    /// An `x-snowfield-` extension is unknown at this location.
    #[error("{location} has {key}, which means nothing there")]
    UnknownExtension {
        /// Location in the description.
        location: String,
        /// Name of the extension.
        key: String,
    },
    /// A key of `x-snowfield-default` is unknown.
    #[error("{location} has {key:?}, which means nothing there")]
    UnknownDefault {
        /// Location in the description.
        location: String,
        /// The unknown key.
        key: String,
    },
    /// An `x-snowfield-default` is empty.
    #[error("{0} states nothing")]
    EmptyDefault(String),
    /// Units are not a number above 0.
    #[error("the units of {0} are no number above 0")]
    InvalidUnits(String),
    /// A class or service is not text, or is empty.
    #[error("the {key} of {location} is no name")]
    InvalidName {
        /// `class` or `service`.
        key: &'static str,
        /// Location in the description.
        location: String,
    },
    /// An operation has no units, and no default applies.
    #[error("{0} states no units (x-snowfield-units), and no x-snowfield-default covers it")]
    NoUnits(String),
    /// An operation has no class, and no default applies.
    #[error("{0} states no class (x-snowfield-class), and no x-snowfield-default covers it")]
    NoClass(String),
    /// A method, or another key of a path item, is not supported.
    #[error("{0:?} cannot be served")]
    UnsupportedMethod(String),
    /// An operation is not an object, or is a reference.
    #[error("{0} is no operation object")]
    NotAnOperation(String),
    /// A path item is not an object.
    #[error("it is no path item object")]
    NotAPathItem,
    /// A reference points to another document.
    #[error("the reference {0:?} is not local")]
    RemoteReference(String),
    /// An object with a reference has another key.
    #[error("{0:?} stands beside a reference, which OpenAPI leaves undefined")]
    KeyBesideReference(String),
    /// A reference points to a missing object.
    #[error("the reference {0:?} leads nowhere")]
    DanglingReference(String),
    /// References are circular, or too many follow each other.
    #[error("its references lead in a circle")]
    CircularReference,
    /// A server has no URL.
    #[error("a server has no url")]
    NoServerUrl,
    /// The path of a server URL has a query, a fragment or undefined variables.
    #[error("the server {0:?} has a base path that cannot be served")]
    UnsupportedBasePath(String),
    /// A server variable has no default.
    #[error("the server variable {0:?} has no default")]
    NoVariableDefault(String),
    /// The variables of a server expand to too many base paths.
    #[error("its servers span too many base paths")]
    TooManyBasePaths,
    /// A path is not a valid template.
    #[error("{0}")]
    Template(#[from] TemplateError),
    /// Two operations have the same method and, apart from the names of parameters, the same path.
    #[error("{method} {path} is claimed by {other_description} already, as {method} {other_path}")]
    DuplicateRoute {
        /// Method of both operations.
        method: String,
        /// Path of the later operation.
        path: String,
        /// Description of the earlier operation.
        other_description: String,
        /// Path of the earlier operation.
        other_path: String,
    },
}

/// Why a path of a description is not a valid template.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TemplateError {
    /// The path does not begin with a slash.
    #[error("a path must begin with a slash")]
    NoLeadingSlash,
    /// A segment is neither literal text nor a single parameter.
    #[error("the segment {0:?} mixes text and parameters, which is not served")]
    MixedSegment(String),
    /// A segment contains a question mark or a number sign.
    #[error("the segment {0:?} holds a query or a fragment")]
    QueryOrFragment(String),
    /// Backends may interpret a segment in different ways.
    #[error("the segment {segment:?}: {source}")]
    Segment {
        /// The segment.
        segment: String,
        /// The cause.
        source: PathError,
    },
}

/// Why a request path is rejected: backends may interpret it in different ways, and a request could then reach an operation with a
/// higher cost than that of its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PathError {
    /// The path does not begin with a slash.
    #[error("the path does not begin with a slash")]
    NoLeadingSlash,
    /// A percent sign is not followed by two hexadecimal digits.
    #[error("a percent sign without two hexadecimal digits")]
    InvalidPercentEncoding,
    /// A segment is `.` or `..` after decoding.
    #[error("a dot segment")]
    DotSegment,
    /// A segment contains a separator or a zero byte after decoding.
    #[error("a slash, backslash or zero byte inside a segment")]
    SeparatorInSegment,
}

#[cfg(test)]
mod tests;

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
    #[error("unreadable JSON: it is nested too deeply")]
    NestedTooDeep,
    /// The text is not valid JSON, or a key occurs twice.
    #[error("unreadable JSON: {0}")]
    Json(#[from] simd_json::Error),
    /// The text is not valid YAML, or a key occurs twice.
    #[error("unreadable YAML: {0}")]
    Yaml(#[from] yaml_serde::Error),
    /// The OpenAPI version is missing.
    #[error("it has no OpenAPI version; 3.0 to 3.2 are supported")]
    NoVersion,
    /// The OpenAPI version is not supported.
    #[error("OpenAPI version {0:?} is not supported; 3.0 to 3.2 are")]
    UnsupportedVersion(String),
    /// `paths` is missing.
    #[error("it has no paths")]
    NoPaths,
    /// The paths have no operation.
    #[error("it has no operation")]
    NoOperations,
    /// A path cannot be served.
    #[error("{path}: {source}")]
    Path {
        /// The path as written in the description.
        path: String,
        /// The cause.
        source: Box<DescriptionError>,
    },
    /// An `x-snowfield-` extension is unknown at this location.
    #[error("{location} has {key}, which is not allowed there")]
    UnknownExtension {
        /// Location in the description.
        location: String,
        /// Name of the extension.
        key: String,
    },
    /// A key of `x-snowfield-default` is unknown.
    #[error("{location} has the unknown key {key:?}")]
    UnknownDefault {
        /// Location in the description.
        location: String,
        /// The unknown key.
        key: String,
    },
    /// An `x-snowfield-default` is empty, or is not an object.
    #[error("{0} is not an object with units, class or service")]
    EmptyDefault(String),
    /// Units are not a number above 0.
    #[error("the units of {0} are not a number above 0")]
    InvalidUnits(String),
    /// A class or service is not text, or is empty.
    #[error("the {key} of {location} must be text that is not empty")]
    InvalidName {
        /// `class` or `service`.
        key: &'static str,
        /// Location in the description.
        location: String,
    },
    /// An operation has no units, and no default applies.
    #[error("{0} has no units (x-snowfield-units), and no x-snowfield-default applies")]
    NoUnits(String),
    /// An operation has no class, and no default applies.
    #[error("{0} has no class (x-snowfield-class), and no x-snowfield-default applies")]
    NoClass(String),
    /// A key of a path item is neither a supported method nor another known key.
    #[error("{0:?} is not a supported method")]
    UnsupportedMethod(String),
    /// An operation is not an object, or is a reference.
    #[error("{0} is not an operation object, or is a reference")]
    NotAnOperation(String),
    /// A path item is not an object.
    #[error("it is not a path item object")]
    NotAPathItem,
    /// A reference points to another document.
    #[error("the reference {0:?} is not local")]
    RemoteReference(String),
    /// An object with a reference has a key other than `summary` and `description`.
    #[error("{0:?} next to a reference is undefined behavior in OpenAPI")]
    KeyBesideReference(String),
    /// A reference points to a missing object.
    #[error("the reference {0:?} points to a missing object")]
    DanglingReference(String),
    /// References are circular, or too many follow each other.
    #[error("its references are circular, or too many follow each other")]
    CircularReference,
    /// A server has no URL.
    #[error("a server has no url")]
    NoServerUrl,
    /// The path of a server URL has a query, a fragment or undefined variables.
    #[error("the base path of the server {0:?} has a query, a fragment or an undefined variable")]
    UnsupportedBasePath(String),
    /// A server variable has no default.
    #[error("the server variable {0:?} has no default")]
    NoVariableDefault(String),
    /// The variables of a server expand to too many base paths.
    #[error("the variables of a server expand to too many base paths")]
    TooManyBasePaths,
    /// A path is not a valid template.
    #[error("{0}")]
    Template(#[from] TemplateError),
    /// Two operations have the same method and, apart from the names of parameters, the same path.
    #[error("{method} {path} is already defined by {other_description}, as {method} {other_path}")]
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
    #[error("the segment {0:?} mixes text and parameters, which is not supported")]
    MixedSegment(String),
    /// A segment contains a question mark or a number sign.
    #[error("the segment {0:?} has a query or a fragment")]
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

/// Why a request path is rejected. Backends may interpret such a path in different ways, and the request could then reach an
/// operation with a higher cost than that of its route.
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

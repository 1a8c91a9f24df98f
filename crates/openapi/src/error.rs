//! Errors of descriptions, of their path templates and of request paths.

/// Why a set of descriptions cannot be served.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A description is invalid, or uses a feature of OpenAPI that is not supported.
    #[error("{description}: {source}")]
    Description {
        /// Name of the description, as passed in [`Description::name`](crate::Description::name).
        description: String,
        /// Why the description cannot be served.
        source: DescriptionError,
    },
    /// A request could match two paths, and neither of them is at least as specific as the other in every segment.
    #[error(
        "ambiguous routes: {path} ({description}) and {other_path} ({other_description}) match the same requests"
    )]
    AmbiguousRoutes {
        /// The path of one of the two routes, as a template with its base path.
        path: String,
        /// Name of the description that defines `path`.
        description: String,
        /// The path of the other route, as a template with its base path.
        other_path: String,
        /// Name of the description that defines `other_path`.
        other_description: String,
    },
}

/// Why a description cannot be served.
#[derive(Debug, thiserror::Error)]
pub enum DescriptionError {
    /// Parsing the JSON could overflow the stack, because the parser is recursive.
    #[error("unreadable JSON: the description is nested too deeply")]
    NestedTooDeep,
    /// A text that starts with a brace is not valid JSON, or a key of an object occurs twice.
    #[error("unreadable JSON: {0}")]
    Json(#[from] simd_json::Error),
    /// A text that does not start with a brace is not valid YAML, or a key of a map occurs twice.
    #[error("unreadable YAML: {0}")]
    Yaml(#[from] yaml_serde::Error),
    /// The key `openapi` is missing, for example in a description for Swagger 2.0.
    #[error("the description has no OpenAPI version; 3.0 to 3.2 are supported")]
    NoVersion,
    /// The value of the key `openapi` is none of the supported versions.
    #[error("OpenAPI version {0:?} is not supported; 3.0 to 3.2 are")]
    UnsupportedVersion(String),
    /// The key `paths` is missing.
    #[error("the description has no paths")]
    NoPaths,
    /// `paths` is empty, or no path item in it has a method.
    #[error("the description has no operation")]
    NoOperations,
    /// The path item of a path, or one of its operations, is invalid or not supported.
    #[error("path {path}: {source}")]
    Path {
        /// The path of the path item, as written in the description.
        path: String,
        /// Why the path item cannot be served.
        source: Box<DescriptionError>,
    },
    /// A key with the prefix `x-snowfield-` is not an extension, or is an extension for another kind of object.
    #[error("{location} has {key}, which is not allowed there")]
    UnknownExtension {
        /// The object that has the key, for example an operation.
        location: String,
        /// The key, including the prefix `x-snowfield-`.
        key: String,
    },
    /// An `x-snowfield-default` has a key other than `units`, `class` and `service`.
    #[error("{location} has the unknown key {key:?}")]
    UnknownDefault {
        /// The `x-snowfield-default` that has the unknown key.
        location: String,
        /// The unknown key, as written in the description.
        key: String,
    },
    /// An `x-snowfield-default` sets no default: it is an empty object, or not an object. The value is its location.
    #[error("{0} is not an object with units, class or service")]
    EmptyDefault(String),
    /// The units of an operation or a default are 0, negative or not a number. The value is their location.
    #[error("the units of {0} are not a number above 0")]
    InvalidUnits(String),
    /// The name of a class or of a service is the empty string or not a string.
    #[error("the {key} of {location} must be text that is not empty")]
    InvalidName {
        /// The extension whose value is invalid: `class` or `service`.
        key: &'static str,
        /// The operation or the `x-snowfield-default` with the invalid name.
        location: String,
    },
    /// Neither an operation nor an `x-snowfield-default` that applies to it sets the units. The value names the operation.
    #[error("{0} has no units (x-snowfield-units), and no x-snowfield-default applies")]
    NoUnits(String),
    /// Neither an operation nor an `x-snowfield-default` that applies to it sets the class. The value names the operation.
    #[error("{0} has no class (x-snowfield-class), and no x-snowfield-default applies")]
    NoClass(String),
    /// A key of a path item is neither a supported method nor another known key, for example `trace`.
    #[error("{0:?} is not a supported method")]
    UnsupportedMethod(String),
    /// The value of a method is not an object, or has a `$ref`. Only path items may be references. The value is its location.
    #[error("{0} is not an operation object, or is a reference")]
    NotAnOperation(String),
    /// The value of a path, or the value that its references lead to, is not an object.
    #[error("the path item is not an object")]
    NotAPathItem,
    /// The `$ref` of a path item points to another document. References must begin with `#/`.
    #[error("the reference {0:?} is not local")]
    RemoteReference(String),
    /// An object with a reference has a key other than `summary` and `description`.
    #[error("{0:?} next to a reference is undefined behavior in OpenAPI")]
    KeyBesideReference(String),
    /// The JSON pointer in the `$ref` of a path item matches nothing in the description.
    #[error("the reference {0:?} points to a missing object")]
    DanglingReference(String),
    /// The references of a path item lead back to it, or form a longer chain than is supported.
    #[error("the references of the path item are circular, or too many follow each other")]
    CircularReference,
    /// An entry of `servers` has no key `url`.
    #[error("a server has no url")]
    NoServerUrl,
    /// The URL of a server cannot be used as the prefix of a path. The value is the path of the URL.
    #[error("the base path of the server {0:?} has a query, a fragment or an undefined variable")]
    UnsupportedBasePath(String),
    /// A variable in the URL of a server has neither an `enum` nor a `default`. The value is the name of the variable.
    #[error("the server variable {0:?} has no default")]
    NoVariableDefault(String),
    /// The `enum` values of a server's variables have too many combinations.
    #[error("the variables of a server expand to too many base paths")]
    TooManyBasePaths,
    /// A path, with its base path, cannot be matched against request paths.
    #[error("{0}")]
    Template(#[from] TemplateError),
    /// Two operations have the same method and, apart from the names of parameters, the same path.
    #[error("{method} {path} is already defined by {other_description}, as {method} {other_path}")]
    DuplicateRoute {
        /// HTTP method of both operations, in upper case.
        method: String,
        /// Path template of the operation that was read second.
        path: String,
        /// Name of the description that defines the operation that was read first.
        other_description: String,
        /// Path template of the operation that was read first.
        other_path: String,
    },
}

/// Why a path of a description is not a valid template.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TemplateError {
    /// A path of the description begins with another character than a slash, or is empty.
    #[error("a path must begin with a slash")]
    NoLeadingSlash,
    /// A segment has a parameter and other text, for example `{id}.json`.
    #[error("the segment {0:?} mixes text and parameters, which is not supported")]
    MixedSegment(String),
    /// A segment contains `?` or `#`, which end the path of a URL.
    #[error("the segment {0:?} has a query or a fragment")]
    QueryOrFragment(String),
    /// Backends may interpret a segment in different ways, so requests with such a segment are rejected.
    #[error("the segment {segment:?} is not allowed: {source}")]
    Segment {
        /// The segment as written in the path of the description.
        segment: String,
        /// Why a request path with this segment is rejected.
        source: PathError,
    },
}

/// Why a request path is rejected. Backends may interpret such a path in different ways, and the request could then reach an
/// operation with a higher cost than that of its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PathError {
    /// The path of the request target is empty, or the target has another form, for example `*`.
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

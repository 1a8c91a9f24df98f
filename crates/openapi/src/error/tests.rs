//! Texts of the errors that operators and clients read.

use super::*;
use std::error::Error;

#[test]
fn a_load_error_names_the_descriptions_and_paths() {
    let error = LoadError::Description {
        description: "loans.json".into(),
        source: DescriptionError::Path {
            path: "/loans".into(),
            source: Box::new(DescriptionError::CircularReference),
        },
    };
    assert_eq!(
        error.to_string(),
        "loans.json: path /loans: the references of the path item are circular, or too many follow each other"
    );
    assert!(error.source().is_some_and(|path| path.source().is_some()));
    let error = LoadError::AmbiguousRoutes {
        path: "/a/{x}".into(),
        description: "one.json".into(),
        other_path: "/{y}/b".into(),
        other_description: "two.json".into(),
    };
    let text = "ambiguous routes: /a/{x} (one.json) and /{y}/b (two.json) match the same requests";
    assert_eq!(error.to_string(), text);
}

#[test]
fn a_description_error_names_the_location_and_the_value() {
    use DescriptionError::*;
    let location = || "operation GET /a".to_owned();
    let text = |error: DescriptionError| error.to_string();
    assert_eq!(text(NestedTooDeep), "unreadable JSON: the description is nested too deeply");
    assert_eq!(text(NoVersion), "the description has no OpenAPI version; 3.0 to 3.2 are supported");
    assert_eq!(
        text(UnsupportedVersion("2.0".into())),
        "OpenAPI version \"2.0\" is not supported; 3.0 to 3.2 are"
    );
    assert_eq!(text(NoPaths), "the description has no paths");
    assert_eq!(text(NoOperations), "the description has no operation");
    assert_eq!(
        text(UnknownExtension { location: location(), key: "x-snowfield-unit".into() }),
        "operation GET /a has x-snowfield-unit, which is not allowed there"
    );
    assert_eq!(
        text(UnknownDefault { location: location(), key: "unit".into() }),
        "operation GET /a has the unknown key \"unit\""
    );
    assert_eq!(
        text(EmptyDefault(location())),
        "operation GET /a is not an object with units, class or service"
    );
    assert_eq!(text(InvalidUnits(location())), "the units of operation GET /a are not a number above 0");
    assert_eq!(
        text(InvalidName { key: "class", location: location() }),
        "the class of operation GET /a must be text that is not empty"
    );
    let missing =
        |name, key| format!("operation GET /a has no {name} ({key}), and no x-snowfield-default applies");
    assert_eq!(text(NoUnits(location())), missing("units", "x-snowfield-units"));
    assert_eq!(text(NoClass(location())), missing("class", "x-snowfield-class"));
    assert_eq!(text(UnsupportedMethod("trace".into())), "\"trace\" is not a supported method");
    assert_eq!(
        text(NotAnOperation(location())),
        "operation GET /a is not an operation object, or is a reference"
    );
}

#[test]
fn errors_of_references_servers_and_routes_name_the_value() {
    use DescriptionError::*;
    let duplicate = DuplicateRoute {
        method: "GET".into(),
        path: "/a/{y}".into(),
        other_description: "one.json".into(),
        other_path: "/a/{x}".into(),
    };
    for (error, text) in [
        (NotAPathItem, "the path item is not an object"),
        (RemoteReference("b.json".into()), "the reference \"b.json\" is not local"),
        (KeyBesideReference("get".into()), "\"get\" next to a reference is undefined behavior in OpenAPI"),
        (DanglingReference("#/x".into()), "the reference \"#/x\" points to a missing object"),
        (NoServerUrl, "a server has no url"),
        (
            UnsupportedBasePath("/{v}".into()),
            "the base path of the server \"/{v}\" has a query, a fragment or an undefined variable",
        ),
        (NoVariableDefault("v".into()), "the server variable \"v\" has no default"),
        (TooManyBasePaths, "the variables of a server expand to too many base paths"),
        (duplicate, "GET /a/{y} is already defined by one.json, as GET /a/{x}"),
        (Template(TemplateError::NoLeadingSlash), "a path must begin with a slash"),
        (
            Template(TemplateError::MixedSegment("a.{x}".into())),
            "the segment \"a.{x}\" mixes text and parameters, which is not supported",
        ),
        (
            Template(TemplateError::QueryOrFragment("a?b".into())),
            "the segment \"a?b\" has a query or a fragment",
        ),
        (
            Template(TemplateError::Segment { segment: "..".into(), source: PathError::DotSegment }),
            "the segment \"..\" is not allowed: a dot segment",
        ),
    ] {
        assert_eq!(error.to_string(), text);
    }
}

/// Clients get these texts in problem details.
#[test]
fn a_path_error_names_the_cause() {
    for (error, text) in [
        (PathError::NoLeadingSlash, "the path does not begin with a slash"),
        (PathError::InvalidPercentEncoding, "a percent sign without two hexadecimal digits"),
        (PathError::DotSegment, "a dot segment"),
        (PathError::SeparatorInSegment, "a slash, backslash or zero byte inside a segment"),
    ] {
        assert_eq!(error.to_string(), text);
    }
}

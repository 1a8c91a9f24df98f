//! Texts of the errors, as operators and clients read them.

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
    assert_eq!(error.to_string(), "loans.json: /loans: its references lead in a circle");
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
    assert_eq!(text(NestedTooDeep), "unreadable JSON: it nests too deep");
    assert_eq!(text(NoVersion), "no OpenAPI version; only 3.x is served");
    assert_eq!(
        text(UnsupportedVersion("2.0".into())),
        "OpenAPI version \"2.0\" is not served; 3.0 to 3.2 are"
    );
    assert_eq!(text(NoPaths), "it has no paths");
    assert_eq!(text(NoOperations), "it holds no operation");
    assert_eq!(
        text(UnknownExtension { location: location(), key: "x-snowfield-unit".into() }),
        "operation GET /a has x-snowfield-unit, which means nothing there"
    );
    assert_eq!(
        text(UnknownDefault { location: location(), key: "unit".into() }),
        "operation GET /a has \"unit\", which means nothing there"
    );
    assert_eq!(text(EmptyDefault(location())), "operation GET /a states nothing");
    assert_eq!(text(InvalidUnits(location())), "the units of operation GET /a are no number above 0");
    assert_eq!(
        text(InvalidName { key: "class", location: location() }),
        "the class of operation GET /a is no name"
    );
    let missing = |name, key| {
        format!("operation GET /a states no {name} ({key}), and no x-snowfield-default covers it")
    };
    assert_eq!(text(NoUnits(location())), missing("units", "x-snowfield-units"));
    assert_eq!(text(NoClass(location())), missing("class", "x-snowfield-class"));
    assert_eq!(text(UnsupportedMethod("trace".into())), "\"trace\" cannot be served");
    assert_eq!(text(NotAnOperation(location())), "operation GET /a is no operation object");
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
        (NotAPathItem, "it is no path item object"),
        (RemoteReference("b.json".into()), "the reference \"b.json\" is not local"),
        (
            KeyBesideReference("get".into()),
            "\"get\" stands beside a reference, which OpenAPI leaves undefined",
        ),
        (DanglingReference("#/x".into()), "the reference \"#/x\" leads nowhere"),
        (NoServerUrl, "a server has no url"),
        (UnsupportedBasePath("/{v}".into()), "the server \"/{v}\" has a base path that cannot be served"),
        (NoVariableDefault("v".into()), "the server variable \"v\" has no default"),
        (TooManyBasePaths, "its servers span too many base paths"),
        (duplicate, "GET /a/{y} is claimed by one.json already, as GET /a/{x}"),
        (Template(TemplateError::NoLeadingSlash), "a path must begin with a slash"),
        (
            Template(TemplateError::MixedSegment("a.{x}".into())),
            "the segment \"a.{x}\" mixes text and parameters, which is not served",
        ),
        (
            Template(TemplateError::QueryOrFragment("a?b".into())),
            "the segment \"a?b\" holds a query or a fragment",
        ),
        (
            Template(TemplateError::Segment { segment: "..".into(), source: PathError::DotSegment }),
            "the segment \"..\": a dot segment",
        ),
    ] {
        assert_eq!(error.to_string(), text);
    }
}

/// Clients get these texts in problem details.
#[test]
fn a_path_error_says_what_is_ambiguous() {
    for (error, text) in [
        (PathError::NoLeadingSlash, "the path does not begin with a slash"),
        (PathError::InvalidPercentEncoding, "a percent sign without two hexadecimal digits"),
        (PathError::DotSegment, "a dot segment"),
        (PathError::SeparatorInSegment, "a slash, backslash or zero byte inside a segment"),
    ] {
        assert_eq!(error.to_string(), text);
    }
}

//! Routes of valid descriptions, and rejection of invalid ones.

#![allow(clippy::unwrap_used)]

use fuzz_inputs::assert_no_panic_on_malformed_input;
use openapi::{Description, RouteMatch, RouteTable};

fn load(texts: &[&str]) -> Result<RouteTable, String> {
    let names = ["one", "two", "three"];
    let descriptions: Vec<Description<'_>> =
        texts.iter().zip(names).map(|(text, name)| Description { name, text }).collect();
    RouteTable::load(&descriptions).map_err(|error| error.to_string())
}

/// A description with the members `paths` of its object `paths`, and the members `head` before that object.
fn description(head: &str, paths: &str) -> String {
    format!(r#"{{"openapi":"3.1.0",{head}"paths":{{{paths}}}}}"#)
}

const DEFAULTS: &str = r#""x-snowfield-default":{"units":1,"class":"c"},"#;

/// Method and path of each route.
fn methods_and_paths(table: &RouteTable) -> Vec<String> {
    table.routes().iter().map(|route| format!("{} {}", route.method, route.path)).collect()
}

#[test]
fn the_most_specific_value_of_an_extension_applies() {
    let text = description(
        r#""x-snowfield-default":{"units":1,"class":"far"},"#,
        r#""/a":{"get":{},"put":{"x-snowfield-units":5}},
           "/b":{"x-snowfield-default":{"units":2},"get":{},"put":{"x-snowfield-class":"near"}}"#,
    );
    let table = load(&[&text]).unwrap();
    assert_eq!(methods_and_paths(&table), ["GET /a", "PUT /a", "GET /b", "PUT /b"]);
    let costs: Vec<(f64, &str)> =
        table.routes().iter().map(|route| (route.units, route.class.as_str())).collect();
    assert_eq!(costs, [(1.0, "far"), (5.0, "far"), (2.0, "far"), (2.0, "near")]);
}

#[test]
fn yaml_gives_the_same_routes_as_json() {
    let json = r##"{"openapi":"3.0.3","servers":[{"url":"/v1"}],"paths":{"/a/{x}":{"get":{"operationId":"get",
        "x-snowfield-units":1.5,"x-snowfield-class":"c","responses":{"200":{"description":"ok"}}}}}}"##;
    let yaml = "openapi: 3.0.3\nservers:\n  - url: /v1\npaths:\n  /a/{x}:\n    get:\n      operationId: get\n      \
                x-snowfield-units: 1.5\n      x-snowfield-class: c\n      responses:\n        200:\n          description: ok\n";
    assert_eq!(load(&[json]).unwrap().routes(), load(&[yaml]).unwrap().routes());
}

#[test]
fn base_paths_come_from_the_most_specific_list_of_servers() {
    for (servers, expected) in [
        (r#"[{"url":"https://h.example/v1/"}]"#, vec!["GET /v1/a"]),
        (r#"[{"url":"https://h.example"},{"url":"https://other.example/"}]"#, vec!["GET /a"]),
        (r#"[{"url":"/v1"},{"url":"/v2"}]"#, vec!["GET /v1/a", "GET /v2/a"]),
        (
            r#"[{"url":"https://{h}/{v}","variables":{"h":{"default":"x"},"v":{"default":"v1","enum":["v1","v2"]}}}]"#,
            vec!["GET /v1/a", "GET /v2/a"],
        ),
    ] {
        let table =
            load(&[&description(&format!(r#"{DEFAULTS}"servers":{servers},"#), r#""/a":{"get":{}}"#)])
                .unwrap();
        assert_eq!(methods_and_paths(&table), expected, "{servers}");
    }
    // The servers of an operation have precedence over those of its path, and these over the servers of the description.
    let paths = r#""/a":{"servers":[{"url":"/p"}],"get":{},"put":{"servers":[{"url":"/o"}]}}"#;
    let table = load(&[&description(&format!(r#"{DEFAULTS}"servers":[{{"url":"/v1"}}],"#), paths)]).unwrap();
    assert_eq!(methods_and_paths(&table), ["GET /p/a", "PUT /o/a"]);
}

#[test]
fn follows_local_references() {
    let head = format!(r##"{DEFAULTS}"components":{{"pathItems":{{"it~em":{{"get":{{}}}}}}}},"##);
    let table = load(&[&description(&head, r##""/a":{"$ref":"#/components/pathItems/it~0em"}"##)]).unwrap();
    assert_eq!(methods_and_paths(&table), ["GET /a"]);
}

#[test]
fn more_specific_paths_have_precedence_and_keep_their_methods() {
    let paths =
        r#""/a/{x}":{"get":{},"post":{}},"/a/all":{"get":{}},"/{y}/{x}":{"get":{}},"/a/{x}/":{"get":{}}"#;
    let table = load(&[&description(DEFAULTS, paths)]).unwrap();
    let find = |method, path| table.find(method, path).unwrap();
    assert_eq!(find("GET", "/a/7"), RouteMatch::Route(0));
    assert_eq!(find("GET", "/a/all"), RouteMatch::Route(2));
    assert_eq!(find("GET", "/%61/al%6C"), RouteMatch::Route(2));
    assert_eq!(find("GET", "/b/all"), RouteMatch::Route(3));
    assert_eq!(find("POST", "/a/all"), RouteMatch::MethodNotAllowed("GET".into()));
    assert_eq!(find("PUT", "/a/7"), RouteMatch::MethodNotAllowed("GET, POST".into()));
    assert_eq!(find("GET", "/a/7/"), RouteMatch::Route(4));
    for path in ["/a/", "/a", "/", "/A/7/x", "/a/7/x"] {
        assert_eq!(find("GET", path), RouteMatch::NotFound, "{path}");
    }
    for path in ["a", "/a/%", "/a/%4", "/a/%2f", "/a/%5C", "/a/..", "/a/%2E", "/a/%00"] {
        assert!(table.find("GET", path).is_err(), "{path}");
    }
}

#[test]
fn two_descriptions_may_share_a_path_but_not_a_route() {
    let one = description(DEFAULTS, r#""/a/{x}":{"get":{}}"#);
    let table = load(&[&one, &description(DEFAULTS, r#""/a/{other}":{"post":{}}"#)]).unwrap();
    assert_eq!(table.find("PUT", "/a/7"), Ok(RouteMatch::MethodNotAllowed("GET, POST".into())));
    let error_text = load(&[&one, &description(DEFAULTS, r#""/a/{other}":{"get":{}}"#)]).unwrap_err();
    assert!(
        ["one", "two", "/a/{x}", "/a/{other}"].iter().all(|part| error_text.contains(part)),
        "{error_text}"
    );
    // The base path makes the routes equal.
    let with_base_path =
        description(&format!(r#"{DEFAULTS}"servers":[{{"url":"/a"}}],"#), r#""/{x}":{"get":{}}"#);
    let error_text = load(&[&one, &with_base_path]).unwrap_err();
    assert!(error_text.contains("one") && error_text.contains("two"), "{error_text}");
}

#[test]
fn rejects_ambiguous_templates_with_both_names() {
    let error_text = load(&[
        &description(DEFAULTS, r#""/a/{x}":{"get":{}}"#),
        &description(DEFAULTS, r#""/{y}/b":{"post":{}}"#),
    ])
    .unwrap_err();
    assert!(
        ["one", "two", "/a/{x}", "/{y}/b", "ambiguous"].iter().all(|part| error_text.contains(part)),
        "{error_text}"
    );
}

#[test]
fn rejects_an_unsupported_description_and_names_the_location() {
    let operation = r#""/a":{"get":{}}"#;
    for (text, error_text) in [
        (description("", r#""/a":{"get":{"operationId":"balance"}}"#), "\"balance\" (GET /a) has no units"),
        (description(r#""x-snowfield-default":{"class":"c"},"#, operation), "GET /a has no units"),
        (description(r#""x-snowfield-default":{"units":1},"#, operation), "GET /a has no class"),
        (
            description(r#""x-snowfield-default":{},"#, operation),
            "is not an object with units, class or service",
        ),
        (description(r#""x-snowfield-default":{"unit":1},"#, operation), "unknown key \"unit\""),
        (description(DEFAULTS, r#""/a":{"get":{"x-snowfield-unit":3}}"#), "x-snowfield-unit"),
        (description(DEFAULTS, r#""/a":{"get":{"x-snowfield-units":0}}"#), "above 0"),
        (description(DEFAULTS, r#""/a":{"get":{"x-snowfield-units":"1"}}"#), "above 0"),
        (description(DEFAULTS, r#""/a":{"get":{"x-snowfield-class":""}}"#), "must be text that is not empty"),
        (description(DEFAULTS, r#""/a":{"trace":{}}"#), "\"trace\" is not a supported method"),
        (description(DEFAULTS, r#""/a":{"get":{},"get":{}}"#), "comes twice"),
        (description(DEFAULTS, r#""/a.{format}":{"get":{}}"#), "mixes"),
        (description(DEFAULTS, r#""/a/../b":{"get":{}}"#), "dot segment"),
        (description(DEFAULTS, r#""a":{"get":{}}"#), "slash"),
        (description(DEFAULTS, r#""/a?x=1":{"get":{}}"#), "query"),
        (description(DEFAULTS, r#""/a":{"$ref":"other.json#/a"}"#), "not local"),
        (description(DEFAULTS, r##""/a":{"$ref":"#/nowhere"}"##), "\"#/nowhere\" points to a missing object"),
        (description(DEFAULTS, r##""/a":{"$ref":"#/paths/~1a"}"##), "circular"),
        (description(DEFAULTS, r##""/a":{"$ref":"#/paths/~1b","get":{}},"/b":{"get":{}}"##), "undefined"),
        (
            description(&format!(r#"{DEFAULTS}"servers":[{{"url":"/{{v}}"}}],"#), operation),
            "undefined variable",
        ),
        (description(DEFAULTS, ""), "no operation"),
        (description(DEFAULTS, operation).replace("3.1.0", "2.0"), "version"),
        (r#"{"swagger":"2.0"}"#.into(), "no OpenAPI version"),
        ("{".into(), "unreadable JSON"),
        ("a: [".into(), "unreadable YAML"),
    ] {
        let error = load(&[&text]).expect_err(error_text);
        assert!(error.starts_with("one: ") && error.contains(error_text), "{error_text}: {error}");
    }
}

#[test]
fn does_not_panic_on_garbage() {
    let valid = description(DEFAULTS, r#""/a/{x}":{"get":{"x-snowfield-units":3}},"/a/b":{"get":{}}"#);
    assert_no_panic_on_malformed_input(valid.as_bytes(), |pieces| {
        let bytes = pieces.concat();
        let text = String::from_utf8_lossy(&bytes);
        if let Ok(table) = load(&[&text]) {
            drop(table.find("GET", &text));
        }
    });
}

//! What a table of routes holds, and which descriptions are rejected.

#![allow(clippy::unwrap_used)]

use fuzz_inputs::survives_garbage;
use openapi::{Description, RouteMatch, RouteTable};

fn load(texts: &[&str]) -> Result<RouteTable, String> {
    let names = ["one", "two", "three"];
    let descriptions: Vec<Description<'_>> =
        texts.iter().zip(names).map(|(text, name)| Description { name, text }).collect();
    RouteTable::load(&descriptions).map_err(|e| e.to_string())
}

/// A description whose paths are given.
fn with(head: &str, paths: &str) -> String {
    format!(r#"{{"openapi":"3.1.0",{head}"paths":{{{paths}}}}}"#)
}

const DEFAULT: &str = r#""x-snowfield-default":{"units":1,"class":"c"},"#;

fn routes(table: &RouteTable) -> Vec<(String, f64, String)> {
    table.routes().iter().map(|r| (format!("{} {}", r.method, r.path), r.units, r.class.clone())).collect()
}

#[test]
fn the_nearest_statement_counts() {
    let text = with(
        r#""x-snowfield-default":{"units":1,"class":"far"},"#,
        r#""/a":{"get":{},"put":{"x-snowfield-units":5}},
           "/b":{"x-snowfield-default":{"units":2},"get":{},"put":{"x-snowfield-class":"near"}}"#,
    );
    let wanted =
        [("GET /a", 1.0, "far"), ("PUT /a", 5.0, "far"), ("GET /b", 2.0, "far"), ("PUT /b", 2.0, "near")];
    let wanted: Vec<_> = wanted.map(|(r, u, c)| (r.to_owned(), u, c.to_owned())).into();
    assert_eq!(routes(&load(&[&text]).unwrap()), wanted);
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
fn base_paths_come_from_the_nearest_servers() {
    for (servers, wanted) in [
        (r#"[{"url":"https://h.example/v1/"}]"#, vec!["GET /v1/a"]),
        (r#"[{"url":"https://h.example"},{"url":"https://other.example/"}]"#, vec!["GET /a"]),
        (r#"[{"url":"/v1"},{"url":"/v2"}]"#, vec!["GET /v1/a", "GET /v2/a"]),
        (
            r#"[{"url":"https://{h}/{v}","variables":{"h":{"default":"x"},"v":{"default":"v1","enum":["v1","v2"]}}}]"#,
            vec!["GET /v1/a", "GET /v2/a"],
        ),
    ] {
        let table =
            load(&[&with(&format!(r#"{DEFAULT}"servers":{servers},"#), r#""/a":{"get":{}}"#)]).unwrap();
        assert_eq!(routes(&table).iter().map(|r| r.0.as_str()).collect::<Vec<_>>(), wanted, "{servers}");
    }
    // The nearest list of servers counts.
    let paths = r#""/a":{"servers":[{"url":"/p"}],"get":{},"put":{"servers":[{"url":"/o"}]}}"#;
    let table = load(&[&with(&format!(r#"{DEFAULT}"servers":[{{"url":"/v1"}}],"#), paths)]).unwrap();
    assert_eq!(routes(&table).iter().map(|r| r.0.as_str()).collect::<Vec<_>>(), ["GET /p/a", "PUT /o/a"]);
}

#[test]
fn follows_local_references() {
    let head = format!(r##"{DEFAULT}"components":{{"pathItems":{{"it~em":{{"get":{{}}}}}}}},"##);
    let table = load(&[&with(&head, r##""/a":{"$ref":"#/components/pathItems/it~0em"}"##)]).unwrap();
    assert_eq!(routes(&table)[0].0, "GET /a");
}

#[test]
fn concrete_paths_win_over_templates_and_keep_their_methods() {
    let paths =
        r#""/a/{x}":{"get":{},"post":{}},"/a/all":{"get":{}},"/{y}/{x}":{"get":{}},"/a/{x}/":{"get":{}}"#;
    let table = load(&[&with(DEFAULT, paths)]).unwrap();
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
    let one = with(DEFAULT, r#""/a/{x}":{"get":{}}"#);
    let table = load(&[&one, &with(DEFAULT, r#""/a/{other}":{"post":{}}"#)]).unwrap();
    assert_eq!(table.find("PUT", "/a/7"), Ok(RouteMatch::MethodNotAllowed("GET, POST".into())));
    let error_text = load(&[&one, &with(DEFAULT, r#""/a/{other}":{"get":{}}"#)]).unwrap_err();
    assert!(
        ["one", "two", "/a/{x}", "/a/{other}"].iter().all(|part| error_text.contains(part)),
        "{error_text}"
    );
    // The base path makes them the same.
    let based = with(&format!(r#"{DEFAULT}"servers":[{{"url":"/a"}}],"#), r#""/{x}":{"get":{}}"#);
    let error_text = load(&[&one, &based]).unwrap_err();
    assert!(error_text.contains("one") && error_text.contains("two"), "{error_text}");
}

#[test]
fn rejects_ambiguous_templates_with_both_names() {
    let error_text =
        load(&[&with(DEFAULT, r#""/a/{x}":{"get":{}}"#), &with(DEFAULT, r#""/{y}/b":{"post":{}}"#)])
            .unwrap_err();
    assert!(
        ["one", "two", "/a/{x}", "/{y}/b", "ambiguous"].iter().all(|part| error_text.contains(part)),
        "{error_text}"
    );
}

#[test]
fn rejects_what_cannot_be_served_with_its_place() {
    let op = r#""/a":{"get":{}}"#;
    for (text, error_text) in [
        (with("", r#""/a":{"get":{"operationId":"balance"}}"#), "\"balance\" (GET /a) states no units"),
        (with(r#""x-snowfield-default":{"class":"c"},"#, op), "GET /a states no units"),
        (with(r#""x-snowfield-default":{"units":1},"#, op), "GET /a states no class"),
        (with(r#""x-snowfield-default":{},"#, op), "states nothing"),
        (with(r#""x-snowfield-default":{"unit":1},"#, op), "\"unit\""),
        (with(DEFAULT, r#""/a":{"get":{"x-snowfield-unit":3}}"#), "x-snowfield-unit"),
        (with(DEFAULT, r#""/a":{"get":{"x-snowfield-units":0}}"#), "above 0"),
        (with(DEFAULT, r#""/a":{"get":{"x-snowfield-units":"1"}}"#), "above 0"),
        (with(DEFAULT, r#""/a":{"get":{"x-snowfield-class":""}}"#), "no name"),
        (with(DEFAULT, r#""/a":{"trace":{}}"#), "\"trace\""),
        (with(DEFAULT, r#""/a":{"get":{},"get":{}}"#), "comes twice"),
        (with(DEFAULT, r#""/a.{format}":{"get":{}}"#), "mixes"),
        (with(DEFAULT, r#""/a/../b":{"get":{}}"#), "dot segment"),
        (with(DEFAULT, r#""a":{"get":{}}"#), "slash"),
        (with(DEFAULT, r#""/a?x=1":{"get":{}}"#), "query"),
        (with(DEFAULT, r#""/a":{"$ref":"other.json#/a"}"#), "not local"),
        (with(DEFAULT, r##""/a":{"$ref":"#/nowhere"}"##), "nowhere"),
        (with(DEFAULT, r##""/a":{"$ref":"#/paths/~1a"}"##), "circle"),
        (with(DEFAULT, r##""/a":{"$ref":"#/paths/~1b","get":{}},"/b":{"get":{}}"##), "undefined"),
        (with(&format!(r#"{DEFAULT}"servers":[{{"url":"/{{v}}"}}],"#), op), "cannot be served"),
        (with(DEFAULT, ""), "no operation"),
        (with(DEFAULT, op).replace("3.1.0", "2.0"), "version"),
        (r#"{"swagger":"2.0"}"#.into(), "no OpenAPI version"),
        ("{".into(), "unreadable JSON"),
        ("a: [".into(), "unreadable YAML"),
    ] {
        let error = load(&[&text]).expect_err(error_text);
        assert!(error.starts_with("one: ") && error.contains(error_text), "{error_text}: {error}");
    }
}

#[test]
fn rejects_garbage_without_a_panic() {
    let valid = with(DEFAULT, r#""/a/{x}":{"get":{"x-snowfield-units":3}},"/a/b":{"get":{}}"#);
    survives_garbage(valid.as_bytes(), |pieces| {
        let bytes = pieces.concat();
        let text = String::from_utf8_lossy(&bytes);
        if let Ok(table) = load(&[&text]) {
            drop(table.find("GET", &text));
        }
    });
}

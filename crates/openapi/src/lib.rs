//! OpenAPI descriptions read into a table of routes, each with its units and its class.
//!
//! Four extensions state what OpenAPI cannot:
//!
//! | extension | where | value |
//! | --- | --- | --- |
//! | `x-snowfield-units` | an operation | the units that it takes from its lender's quota, above 0 |
//! | `x-snowfield-class` | an operation | the name of its class of requests |
//! | `x-snowfield-service` | an operation | the name of the service that serves it, if not the file's own |
//! | `x-snowfield-default` | the description or a path | an object with any of `units`, `class` and `service`, for operations that state none |
//!
//! The nearest statement counts: the operation's own, then its path's default, then the description's. An operation for
//! which none states the units, or none the class, is refused by name, as is any other `x-snowfield-` extension. What
//! cannot be honoured is refused too; nothing is guessed.

mod node;
mod template;

use node::Node;
use std::fmt;

pub use template::PathError;
use template::{Overlap, Template};

/// The methods that a description may hold.
const METHODS: [&str; 8] = ["get", "put", "post", "delete", "options", "head", "patch", "query"];
/// Keys of a path item that hold no operation.
const PATH_KEYS: [&str; 5] = ["$ref", "summary", "description", "servers", "parameters"];
const PREFIX: &str = "x-snowfield-";
/// The most base paths that the servers of one description may span.
const MOST_BASES: usize = 64;
/// The most references in a row.
const MOST_HOPS: usize = 16;

/// Why a description, or several together, cannot be served. The text names the place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadError(String);

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for LoadError {}

/// One operation that is served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its method, in capitals.
    pub method: String,
    /// Its path with the base path of its server.
    pub path: String,
    /// Its `operationId`, if it has one.
    pub name: Option<String>,
    /// The units that it takes.
    pub units: f64,
    /// The name of its class.
    pub class: String,
    /// The name of the service that serves it; `None` where nothing states one.
    pub service: Option<String>,
    /// The description that it comes from.
    pub source: String,
}

/// What a method and a path lead to.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteMatch {
    /// The route of this number.
    Route(usize),
    /// The path is known, with these methods only.
    MethodNotAllowed(String),
    /// No path matches.
    NotFound,
}

/// All routes, ready to be asked.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: Vec<Route>,
    paths: Vec<Path>,
}

/// One path and the numbers of its routes.
#[derive(Clone, Debug)]
struct Path {
    template: Template,
    routes: Vec<usize>,
}

/// One description's text.
#[derive(Clone, Copy, Debug)]
pub struct Description<'a> {
    /// Its name in messages, for example its file.
    pub name: &'a str,
    /// JSON, or YAML.
    pub text: &'a str,
}

/// Units and class as stated at one place.
#[derive(Clone, Debug, Default)]
struct Stated {
    units: Option<f64>,
    class: Option<String>,
    service: Option<String>,
}

impl RouteTable {
    /// Reads descriptions into one table.
    ///
    /// # Errors
    ///
    /// A description cannot be honoured, an operation has no stated cost, or two claim one route.
    pub fn load(descriptions: &[Description<'_>]) -> Result<Self, LoadError> {
        let mut table = Self::default();
        for description in descriptions {
            table.add(description).map_err(|text| LoadError(format!("{}: {text}", description.name)))?;
        }
        table.refuse_ambiguous()?;
        Ok(table)
    }

    /// The routes by number, in the order of the descriptions.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Finds the route of a request. `path` is the path of its target, without the query.
    ///
    /// # Errors
    ///
    /// The path is one that back ends may read in different ways.
    pub fn find(&self, method: &str, path: &str) -> Result<RouteMatch, PathError> {
        let segments = template::segments(path)?;
        let matching = self.paths.iter().filter(|p| p.template.matches(&segments));
        // Load has refused ambiguity, so of those that match one is more concrete than all others.
        let Some(best) = matching.max_by(|a, b| a.template.concreteness(&b.template)) else {
            return Ok(RouteMatch::NotFound);
        };
        let routes = || best.routes.iter().map(|&i| (i, &self.routes[i].method));
        Ok(match routes().find(|(_, m)| *m == method) {
            Some((i, _)) => RouteMatch::Route(i),
            None => {
                let mut allowed: Vec<&str> = routes().map(|(_, m)| m.as_str()).collect();
                allowed.sort_unstable();
                RouteMatch::MethodNotAllowed(allowed.join(", "))
            }
        })
    }

    fn add(&mut self, description: &Description<'_>) -> Result<(), String> {
        let root = parse(description.text)?;
        let version =
            root.get("openapi").and_then(Node::text).ok_or("no OpenAPI version; only 3.x is served")?;
        if !["3.0.", "3.1.", "3.2."].iter().any(|v| version.starts_with(v)) {
            return Err(format!("OpenAPI version {version:?} is not served; 3.0 to 3.2 are"));
        }
        refuse_unknown(&root, "the description", &["default"])?;
        let paths = root.get("paths").ok_or("it has no paths")?;
        let defaults = stated_default(&root, "the description")?;
        for (path, item) in paths.entries().iter().filter(|(k, _)| !k.starts_with("x-")) {
            self.add_path(description.name, &root, &defaults, path, item)
                .map_err(|e| format!("{path}: {e}"))?;
        }
        if self.routes.iter().all(|r| r.source != description.name) {
            return Err("it holds no operation".into());
        }
        Ok(())
    }

    fn add_path(
        &mut self,
        source: &str,
        root: &Node,
        defaults: &Stated,
        path: &str,
        item: &Node,
    ) -> Result<(), String> {
        let item = resolve(root, item)?;
        refuse_unknown(item, "the path", &["default"])?;
        let own = stated_default(item, "the path")?;
        for (key, operation) in item.entries() {
            let method = key.to_ascii_lowercase();
            if key.starts_with("x-") || PATH_KEYS.contains(&key.as_str()) {
                continue;
            }
            if !METHODS.contains(&key.as_str()) {
                return Err(format!("{key:?} cannot be served"));
            }
            let name = operation.get("operationId").and_then(Node::text);
            let called = match name {
                Some(name) => format!("operation {name:?} ({} {path})", method.to_ascii_uppercase()),
                None => format!("operation {} {path}", method.to_ascii_uppercase()),
            };
            if !matches!(operation, Node::Map(_)) || operation.get("$ref").is_some() {
                return Err(format!("{called} is no operation object"));
            }
            refuse_unknown(operation, &called, &["units", "class", "service"])?;
            let units = match operation.get("x-snowfield-units") {
                Some(node) => Some(units_of(node, &called)?),
                None => own.units.or(defaults.units),
            };
            let class = match operation.get("x-snowfield-class") {
                Some(node) => Some(name_of(node, "class", &called)?),
                None => own.class.clone().or_else(|| defaults.class.clone()),
            };
            let service = match operation.get("x-snowfield-service") {
                Some(node) => Some(name_of(node, "service", &called)?),
                None => own.service.clone().or_else(|| defaults.service.clone()),
            };
            let units = units.ok_or_else(|| {
                format!("{called} states no units (x-snowfield-units), and no x-snowfield-default covers it")
            })?;
            let class = class.ok_or_else(|| {
                format!("{called} states no class (x-snowfield-class), and no x-snowfield-default covers it")
            })?;
            let servers = [operation, item, root].into_iter().find_map(|n| n.get("servers"));
            for base in bases(servers)? {
                let route = Route {
                    method: method.to_ascii_uppercase(),
                    path: format!("{base}{path}"),
                    name: name.map(str::to_owned),
                    units,
                    class: class.clone(),
                    service: service.clone(),
                    source: source.to_owned(),
                };
                self.add_route(route)?;
            }
        }
        Ok(())
    }

    fn add_route(&mut self, route: Route) -> Result<(), String> {
        let template = Template::parse(&route.path)?;
        let number = self.routes.len();
        match self.paths.iter_mut().find(|p| p.template.overlap(&template) == Overlap::Same) {
            Some(path) => {
                if let Some(&other) = path.routes.iter().find(|&&i| self.routes[i].method == route.method) {
                    let other = &self.routes[other];
                    return Err(format!(
                        "{} {} is claimed by {} already, as {} {}",
                        route.method, route.path, other.source, other.method, other.path
                    ));
                }
                path.routes.push(number);
            }
            None => self.paths.push(Path { template, routes: vec![number] }),
        }
        self.routes.push(route);
        Ok(())
    }

    /// Two templates of which one request could mean either, and neither is more concrete throughout.
    fn refuse_ambiguous(&self) -> Result<(), LoadError> {
        for (i, a) in self.paths.iter().enumerate() {
            for b in &self.paths[i + 1..] {
                if a.template.overlap(&b.template) == Overlap::Ambiguous {
                    let (a, b) = (&self.routes[a.routes[0]], &self.routes[b.routes[0]]);
                    return Err(LoadError(format!(
                        "ambiguous routes: {} ({}) and {} ({}) match the same requests",
                        a.path, a.source, b.path, b.source
                    )));
                }
            }
        }
        Ok(())
    }
}

fn parse(text: &str) -> Result<Node, String> {
    if text.trim_start().starts_with('{') {
        let mut bytes = text.as_bytes().to_vec();
        if json_stream::nests_too_deep(&bytes) {
            return Err("unreadable JSON: it nests too deep".into());
        }
        simd_json::serde::from_slice(&mut bytes).map_err(|e| format!("unreadable JSON: {e}"))
    } else {
        yaml_serde::from_str(text).map_err(|e| format!("unreadable YAML: {e}"))
    }
}

/// Follows local references of a path item to its object.
fn resolve<'a>(root: &'a Node, mut item: &'a Node) -> Result<&'a Node, String> {
    for _ in 0..MOST_HOPS {
        let Some(reference) = item.get("$ref") else {
            return if matches!(item, Node::Map(_)) {
                Ok(item)
            } else {
                Err("it is no path item object".into())
            };
        };
        let to = reference.text().unwrap_or_default();
        let Some(pointer) = to.strip_prefix('#').filter(|p| p.starts_with('/')) else {
            return Err(format!("the reference {to:?} is not local"));
        };
        let other = |k: &&(String, Node)| !["$ref", "summary", "description"].contains(&k.0.as_str());
        if let Some((key, _)) = item.entries().iter().find(other) {
            return Err(format!("{key:?} stands beside a reference, which OpenAPI leaves undefined"));
        }
        item = root.pointed(pointer).ok_or_else(|| format!("the reference {to:?} leads nowhere"))?;
    }
    Err("its references lead in a circle".into())
}

/// A mistyped extension must not pass for a missing one.
fn refuse_unknown(node: &Node, place: &str, known: &[&str]) -> Result<(), String> {
    for (key, _) in node.entries() {
        if key.strip_prefix(PREFIX).is_some_and(|name| !known.contains(&name)) {
            return Err(format!("{place} has {key}, which means nothing there"));
        }
    }
    Ok(())
}

fn stated_default(node: &Node, place: &str) -> Result<Stated, String> {
    let Some(default) = node.get("x-snowfield-default") else { return Ok(Stated::default()) };
    let place = format!("x-snowfield-default of {place}");
    if let Some((key, _)) =
        default.entries().iter().find(|(k, _)| !["units", "class", "service"].contains(&k.as_str()))
    {
        return Err(format!("{place} has {key:?}, which means nothing there"));
    }
    if default.entries().is_empty() {
        return Err(format!("{place} states nothing"));
    }
    Ok(Stated {
        units: default.get("units").map(|n| units_of(n, &place)).transpose()?,
        class: default.get("class").map(|n| name_of(n, "class", &place)).transpose()?,
        service: default.get("service").map(|n| name_of(n, "service", &place)).transpose()?,
    })
}

fn units_of(node: &Node, place: &str) -> Result<f64, String> {
    match node {
        Node::Number(units) if units.is_finite() && *units > 0.0 => Ok(*units),
        _ => Err(format!("the units of {place} are no number above 0")),
    }
}

fn name_of(node: &Node, what: &str, place: &str) -> Result<String, String> {
    let text = node.text().filter(|t| !t.is_empty());
    text.map(str::to_owned).ok_or_else(|| format!("the {what} of {place} is no name"))
}

/// The base paths of a list of servers, without a slash at their ends.
fn bases(servers: Option<&Node>) -> Result<Vec<String>, String> {
    let mut bases = Vec::new();
    for server in servers.map_or(&[][..], Node::items) {
        let url = server.get("url").and_then(Node::text).ok_or("a server has no url")?;
        for url in with_variables(url, server.get("variables"))? {
            let base = base_of(&url).trim_end_matches('/').to_owned();
            if base.contains(['?', '#', '{', '}']) {
                return Err(format!("the server {url:?} has a base path that cannot be served"));
            }
            if !bases.contains(&base) {
                bases.push(base);
            }
        }
    }
    if bases.is_empty() {
        bases.push(String::new());
    }
    Ok(bases)
}

/// The path of a URL, or of a reference that is relative to the description's place.
fn base_of(url: &str) -> String {
    let path = match url.split_once("://") {
        Some((_, rest)) => rest.find('/').map_or("", |at| &rest[at..]),
        None => url,
    };
    let path = path.trim_start_matches("./");
    if path.starts_with('/') || path.is_empty() { path.to_owned() } else { format!("/{path}") }
}

/// A server's URL with every value that its variables may take: all of `enum`, or else the default.
fn with_variables(url: &str, variables: Option<&Node>) -> Result<Vec<String>, String> {
    let mut urls = vec![url.to_owned()];
    for (name, variable) in variables.map_or(&[][..], Node::entries) {
        let place = format!("{{{name}}}");
        if !url.contains(&place) {
            continue;
        }
        let listed = variable.get("enum").map_or(&[][..], Node::items);
        let default = variable.get("default").map_or(&[][..], std::slice::from_ref);
        let values: Vec<&str> =
            if listed.is_empty() { default } else { listed }.iter().filter_map(Node::text).collect();
        if values.is_empty() {
            return Err(format!("the server variable {name:?} has no default"));
        }
        urls = urls.iter().flat_map(|u| values.iter().map(|v| u.replace(&place, v))).collect();
        if urls.len() > MOST_BASES {
            return Err("its servers span too many base paths".into());
        }
    }
    Ok(urls)
}

//! Reads one OpenAPI description: its version, its paths and their operations.

use crate::Route;
use crate::error::DescriptionError;
use crate::extensions::{Extensions, reject_unknown};
use crate::node::Node;
use crate::reference::resolve_path_item;
use crate::servers::base_paths;

/// Prefixes of the supported OpenAPI versions.
const SUPPORTED_VERSIONS: [&str; 3] = ["3.0.", "3.1.", "3.2."];
/// Keys of a path item that stand for supported methods.
const SUPPORTED_METHODS: [&str; 8] = ["get", "put", "post", "delete", "options", "head", "patch", "query"];
/// Keys of a path item that do not stand for methods.
const NON_METHOD_KEYS: [&str; 5] = ["$ref", "summary", "description", "servers", "parameters"];

/// The text of an OpenAPI description, with a name for error texts.
#[derive(Clone, Copy, Debug)]
pub struct Description<'a> {
    /// Name of the description in error texts, for example its file name.
    pub name: &'a str,
    /// OpenAPI description in JSON or YAML.
    pub text: &'a str,
}

/// Reads the routes of one description.
pub(crate) struct DescriptionReader<'a> {
    name: &'a str,
    root: Node,
    defaults: Extensions,
}

impl<'a> DescriptionReader<'a> {
    pub(crate) fn new(description: &Description<'a>) -> Result<Self, DescriptionError> {
        let root = parse_description(description.text)?;
        let version = root.get("openapi").and_then(Node::text).ok_or(DescriptionError::NoVersion)?;
        if !SUPPORTED_VERSIONS.iter().any(|supported| version.starts_with(supported)) {
            return Err(DescriptionError::UnsupportedVersion(version.to_owned()));
        }
        reject_unknown(&root, "the description", &["default"])?;
        if root.get("paths").is_none() {
            return Err(DescriptionError::NoPaths);
        }
        let defaults = Extensions::default_of(&root, "the description")?;
        Ok(Self { name: description.name, root, defaults })
    }

    /// Returns the entries of `paths`: each path with its path item. Extensions are left out.
    pub(crate) fn paths(&self) -> impl Iterator<Item = (&str, &Node)> {
        let paths = self.root.get("paths").map_or(&[][..], Node::entries);
        let is_path = |(path, _): &&(String, Node)| !path.starts_with("x-");
        paths.iter().filter(is_path).map(|(path, item)| (path.as_str(), item))
    }

    /// Reads the operations of a path, and calls `add_route` with a route for each of their base paths.
    pub(crate) fn read_path(
        &self,
        path: &str,
        item: &Node,
        mut add_route: impl FnMut(Route) -> Result<(), DescriptionError>,
    ) -> Result<(), DescriptionError> {
        let item = resolve_path_item(&self.root, item)?;
        reject_unknown(item, "the path", &["default"])?;
        let path_defaults = Extensions::default_of(item, "the path")?;
        for (key, operation) in item.entries() {
            let is_method = !key.starts_with("x-") && !NON_METHOD_KEYS.contains(&key.as_str());
            if !is_method {
                continue;
            }
            if !SUPPORTED_METHODS.contains(&key.as_str()) {
                return Err(DescriptionError::UnsupportedMethod(key.clone()));
            }
            let route = self.read_operation(path, &key.to_ascii_uppercase(), operation, &path_defaults)?;
            let servers = [operation, item, &self.root].into_iter().find_map(|node| node.get("servers"));
            for base in base_paths(servers)? {
                add_route(Route { path: format!("{base}{path}"), ..route.clone() })?;
            }
        }
        Ok(())
    }

    /// Returns the route of an operation. The caller prepends the base path.
    fn read_operation(
        &self,
        path: &str,
        method: &str,
        operation: &Node,
        path_defaults: &Extensions,
    ) -> Result<Route, DescriptionError> {
        let name = operation.get("operationId").and_then(Node::text);
        let location = match name {
            Some(name) => format!("operation {name:?} ({method} {path})"),
            None => format!("operation {method} {path}"),
        };
        if !matches!(operation, Node::Map(_)) || operation.get("$ref").is_some() {
            return Err(DescriptionError::NotAnOperation(location));
        }
        let own = Extensions::of_operation(operation, &location)?;
        let effective = own.with_fallback(path_defaults).with_fallback(&self.defaults);
        let Some(units) = effective.units else { return Err(DescriptionError::NoUnits(location)) };
        let Some(class) = effective.class else { return Err(DescriptionError::NoClass(location)) };
        Ok(Route {
            method: method.to_owned(),
            path: path.to_owned(),
            name: name.map(str::to_owned),
            units,
            class,
            service: effective.service,
            source: self.name.to_owned(),
        })
    }
}

/// Parses a description. Text that starts with a brace is JSON, all other text is YAML.
fn parse_description(text: &str) -> Result<Node, DescriptionError> {
    if !text.trim_start().starts_with('{') {
        return Ok(yaml_serde::from_str(text)?);
    }
    let mut bytes = text.as_bytes().to_vec();
    if json_stream::exceeds_max_depth(&bytes) {
        return Err(DescriptionError::NestedTooDeep);
    }
    Ok(simd_json::serde::from_slice(&mut bytes)?)
}

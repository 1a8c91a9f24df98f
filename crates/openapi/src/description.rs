//! One description: its version, its paths and their operations.

use crate::Route;
use crate::error::DescriptionError;
use crate::extensions::{Statements, reject_unknown};
use crate::node::Node;
use crate::reference::resolve_path_item;
use crate::servers::base_paths;

/// The OpenAPI versions that are served.
const VERSIONS: [&str; 3] = ["3.0.", "3.1.", "3.2."];
/// The methods that a description may hold.
const METHODS: [&str; 8] = ["get", "put", "post", "delete", "options", "head", "patch", "query"];
/// Keys of a path item that hold no operation.
const PATH_ITEM_KEYS: [&str; 5] = ["$ref", "summary", "description", "servers", "parameters"];

/// The text of one description.
#[derive(Clone, Copy, Debug)]
pub struct Description<'a> {
    /// Its name in messages, for example its file.
    pub name: &'a str,
    /// JSON, or YAML.
    pub text: &'a str,
}

/// A description that is being read.
pub(crate) struct DescriptionReader<'a> {
    name: &'a str,
    root: Node,
    defaults: Statements,
}

impl<'a> DescriptionReader<'a> {
    pub(crate) fn new(description: &Description<'a>) -> Result<Self, DescriptionError> {
        let root = parse(description.text)?;
        let version = root.get("openapi").and_then(Node::text).ok_or(DescriptionError::NoVersion)?;
        if !VERSIONS.iter().any(|supported| version.starts_with(supported)) {
            return Err(DescriptionError::UnsupportedVersion(version.to_owned()));
        }
        reject_unknown(&root, "the description", &["default"])?;
        if root.get("paths").is_none() {
            return Err(DescriptionError::NoPaths);
        }
        let defaults = Statements::default_of(&root, "the description")?;
        Ok(Self { name: description.name, root, defaults })
    }

    /// The paths with their items.
    pub(crate) fn paths(&self) -> impl Iterator<Item = (&str, &Node)> {
        let paths = self.root.get("paths").map_or(&[][..], Node::entries);
        let is_path = |(path, _): &&(String, Node)| !path.starts_with("x-");
        paths.iter().filter(is_path).map(|(path, item)| (path.as_str(), item))
    }

    /// Reads the operations of a path, and hands over a route for each base path of their servers.
    pub(crate) fn read_path(
        &self,
        path: &str,
        item: &Node,
        mut add_route: impl FnMut(Route) -> Result<(), DescriptionError>,
    ) -> Result<(), DescriptionError> {
        let item = resolve_path_item(&self.root, item)?;
        reject_unknown(item, "the path", &["default"])?;
        let path_defaults = Statements::default_of(item, "the path")?;
        for (key, operation) in item.entries() {
            if key.starts_with("x-") || PATH_ITEM_KEYS.contains(&key.as_str()) {
                continue;
            }
            if !METHODS.contains(&key.as_str()) {
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

    /// The route of an operation, without a base path.
    fn read_operation(
        &self,
        path: &str,
        method: &str,
        operation: &Node,
        path_defaults: &Statements,
    ) -> Result<Route, DescriptionError> {
        let name = operation.get("operationId").and_then(Node::text);
        let place = match name {
            Some(name) => format!("operation {name:?} ({method} {path})"),
            None => format!("operation {method} {path}"),
        };
        if !matches!(operation, Node::Map(_)) || operation.get("$ref").is_some() {
            return Err(DescriptionError::NotAnOperation(place));
        }
        let own = Statements::of_operation(operation, &place)?;
        let stated = own.or(path_defaults).or(&self.defaults);
        let Some(units) = stated.units else { return Err(DescriptionError::NoUnits(place)) };
        let Some(class) = stated.class else { return Err(DescriptionError::NoClass(place)) };
        Ok(Route {
            method: method.to_owned(),
            path: path.to_owned(),
            name: name.map(str::to_owned),
            units,
            class,
            service: stated.service,
            source: self.name.to_owned(),
        })
    }
}

fn parse(text: &str) -> Result<Node, DescriptionError> {
    if !text.trim_start().starts_with('{') {
        return Ok(yaml_serde::from_str(text)?);
    }
    let mut bytes = text.as_bytes().to_vec();
    if json_stream::exceeds_max_depth(&bytes) {
        return Err(DescriptionError::NestedTooDeep);
    }
    Ok(simd_json::serde::from_slice(&mut bytes)?)
}

//! Base paths of servers: the paths of their URLs, which are prepended to the paths of a description.

use crate::error::DescriptionError;
use crate::node::Node;

/// Maximum number of URLs to which the variables of one server may expand.
const MAX_EXPANDED_URLS: usize = 64;

/// Returns the distinct base paths of a list of servers, without trailing slashes. A description without servers has the empty
/// base path only.
pub(crate) fn base_paths(servers: Option<&Node>) -> Result<Vec<String>, DescriptionError> {
    let mut bases = Vec::new();
    for server in servers.map_or(&[][..], Node::items) {
        let url = server.get("url").and_then(Node::text).ok_or(DescriptionError::NoServerUrl)?;
        for url in expand_variables(url, server.get("variables"))? {
            let base = path_of(&url).trim_end_matches('/').to_owned();
            if base.contains(['?', '#', '{', '}']) {
                return Err(DescriptionError::UnsupportedBasePath(url));
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

/// The path of a URL, which may be relative to the location of the description.
fn path_of(url: &str) -> String {
    let path = match url.split_once("://") {
        Some((_, rest)) => rest.find('/').map_or("", |start| &rest[start..]),
        None => url,
    };
    let path = path.trim_start_matches("./");
    if path.starts_with('/') || path.is_empty() { path.to_owned() } else { format!("/{path}") }
}

/// Expands a server URL with every value of its variables: the values of `enum` if it is present, or else the default.
fn expand_variables(url: &str, variables: Option<&Node>) -> Result<Vec<String>, DescriptionError> {
    let mut urls = vec![url.to_owned()];
    for (name, variable) in variables.map_or(&[][..], Node::entries) {
        let placeholder = format!("{{{name}}}");
        if !url.contains(&placeholder) {
            continue;
        }
        let values = values_of(variable);
        if values.is_empty() {
            return Err(DescriptionError::NoVariableDefault(name.clone()));
        }
        let expand = |url: &String| -> Vec<String> {
            values.iter().map(|value| url.replace(&placeholder, value)).collect()
        };
        urls = urls.iter().flat_map(expand).collect();
        if urls.len() > MAX_EXPANDED_URLS {
            return Err(DescriptionError::TooManyBasePaths);
        }
    }
    Ok(urls)
}

fn values_of(variable: &Node) -> Vec<&str> {
    let listed = variable.get("enum").map_or(&[][..], Node::items);
    let default = variable.get("default").map_or(&[][..], std::slice::from_ref);
    let values = if listed.is_empty() { default } else { listed };
    values.iter().filter_map(Node::text).collect()
}

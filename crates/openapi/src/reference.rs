//! Resolution of local references of path items.

use crate::error::DescriptionError;
use crate::node::Node;

/// Maximum number of references that are followed from one path item, which also ends circular references.
const MAX_REFERENCE_DEPTH: usize = 16;
/// Keys that an object with a reference may have, including the reference itself.
const ALLOWED_KEYS: [&str; 3] = ["$ref", "summary", "description"];

/// Follows the references of a path item, and returns the path item object to which they lead.
pub(crate) fn resolve_path_item<'a>(
    root: &'a Node,
    mut item: &'a Node,
) -> Result<&'a Node, DescriptionError> {
    for _ in 0..MAX_REFERENCE_DEPTH {
        let Some(reference) = item.get("$ref") else {
            let is_object = matches!(item, Node::Map(_));
            return if is_object { Ok(item) } else { Err(DescriptionError::NotAPathItem) };
        };
        let target = reference.text().unwrap_or_default();
        let Some(pointer) = target.strip_prefix('#').filter(|pointer| pointer.starts_with('/')) else {
            return Err(DescriptionError::RemoteReference(target.to_owned()));
        };
        let is_disallowed = |(key, _): &&(String, Node)| !ALLOWED_KEYS.contains(&key.as_str());
        if let Some((key, _)) = item.entries().iter().find(is_disallowed) {
            return Err(DescriptionError::KeyBesideReference(key.clone()));
        }
        let dangling = || DescriptionError::DanglingReference(target.to_owned());
        item = root.follow_pointer(pointer).ok_or_else(dangling)?;
    }
    Err(DescriptionError::CircularReference)
}

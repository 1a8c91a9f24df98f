//! A description as a tree of values, from JSON or YAML. A duplicate key is an error, because one of its values would be lost.

use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use std::fmt;

/// A value of a description.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Node {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Node>),
    Map(Vec<(String, Node)>),
}

impl Node {
    /// The value of a key of a map; `None` if the map has no such key, and for another value.
    pub(crate) fn get(&self, key: &str) -> Option<&Node> {
        self.entries().iter().find(|(name, _)| name == key).map(|(_, value)| value)
    }

    /// The entries of a map, or an empty slice for another value.
    pub(crate) fn entries(&self) -> &[(String, Node)] {
        if let Self::Map(entries) = self { entries } else { &[] }
    }

    /// The items of a list, or an empty slice for another value.
    pub(crate) fn items(&self) -> &[Node] {
        if let Self::List(items) = self { items } else { &[] }
    }

    /// The text of a text value; `None` for another value.
    pub(crate) fn text(&self) -> Option<&str> {
        if let Self::Text(text) = self { Some(text) } else { None }
    }

    /// The value at a JSON pointer (RFC 6901); `None` if there is no such value.
    pub(crate) fn follow_pointer(&self, pointer: &str) -> Option<&Node> {
        pointer.split('/').skip(1).try_fold(self, |node, token| {
            let token = token.replace("~1", "/").replace("~0", "~");
            match node {
                Self::List(items) => items.get(token.parse::<usize>().ok()?),
                _ => node.get(&token),
            }
        })
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a value of a description")
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Node, E> {
        Ok(Node::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(Node::Number(value as f64))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Number(value as f64))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Node, E> {
        Ok(Node::Number(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Node, E> {
        Ok(Node::Text(value.to_owned()))
    }

    fn visit_seq<S: SeqAccess<'de>>(self, mut sequence: S) -> Result<Node, S::Error> {
        let mut items = Vec::new();
        while let Some(item) = sequence.next_element()? {
            items.push(item);
        }
        Ok(Node::List(items))
    }

    fn visit_map<M: MapAccess<'de>>(self, mut map: M) -> Result<Node, M::Error> {
        let mut entries: Vec<(String, Node)> = Vec::new();
        while let Some((key, value)) = map.next_entry::<Node, Node>()? {
            // Keys in YAML may be other scalars: the status codes of responses are often written as numbers.
            let key = match key {
                Node::Text(text) => text,
                Node::Number(number) => number.to_string(),
                Node::Bool(value) => value.to_string(),
                _ => return Err(M::Error::custom("a key is not text, a number or a boolean")),
            };
            if entries.iter().any(|(name, _)| *name == key) {
                return Err(M::Error::custom(format!("the key {key:?} comes twice")));
            }
            entries.push((key, value));
        }
        Ok(Node::Map(entries))
    }
}

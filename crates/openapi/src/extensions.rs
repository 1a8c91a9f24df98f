//! The `x-snowfield-` extensions: units, class and service of an operation, and their defaults.

use crate::error::DescriptionError;
use crate::node::Node;

const EXTENSION_PREFIX: &str = "x-snowfield-";
/// Names of the extensions of an operation without their prefix, which are also the keys of `x-snowfield-default`.
const EXTENSION_KEYS: [&str; 3] = ["units", "class", "service"];

/// Values of the extensions at one location; `None` for an extension that is absent there.
#[derive(Clone, Debug, Default)]
pub(crate) struct Extensions {
    pub(crate) units: Option<f64>,
    pub(crate) class: Option<String>,
    pub(crate) service: Option<String>,
}

impl Extensions {
    /// Reads the extensions of an operation.
    pub(crate) fn of_operation(operation: &Node, location: &str) -> Result<Self, DescriptionError> {
        reject_unknown(operation, location, &EXTENSION_KEYS)?;
        let get = |key: &str| operation.get(&format!("{EXTENSION_PREFIX}{key}"));
        Self::read(get, location)
    }

    /// Reads the `x-snowfield-default` of a path or a description. If the key is absent, all values are `None`.
    pub(crate) fn default_of(node: &Node, location: &str) -> Result<Self, DescriptionError> {
        let Some(default) = node.get("x-snowfield-default") else { return Ok(Self::default()) };
        let location = format!("x-snowfield-default of {location}");
        let is_unknown = |(key, _): &&(String, Node)| !EXTENSION_KEYS.contains(&key.as_str());
        if let Some((key, _)) = default.entries().iter().find(is_unknown) {
            return Err(DescriptionError::UnknownDefault { location, key: key.clone() });
        }
        if default.entries().is_empty() {
            return Err(DescriptionError::EmptyDefault(location));
        }
        Self::read(|key| default.get(key), &location)
    }

    fn read<'a>(get: impl Fn(&str) -> Option<&'a Node>, location: &str) -> Result<Self, DescriptionError> {
        Ok(Self {
            units: get("units").map(|node| read_units(node, location)).transpose()?,
            class: get("class").map(|node| read_name(node, "class", location)).transpose()?,
            service: get("service").map(|node| read_name(node, "service", location)).transpose()?,
        })
    }

    /// Replaces each value that is `None` by the value in `fallback`.
    pub(crate) fn with_fallback(self, fallback: &Self) -> Self {
        Self {
            units: self.units.or(fallback.units),
            class: self.class.or_else(|| fallback.class.clone()),
            service: self.service.or_else(|| fallback.service.clone()),
        }
    }
}

/// Rejects extensions other than `known`, so that a misspelled extension is not ignored.
pub(crate) fn reject_unknown(node: &Node, location: &str, known: &[&str]) -> Result<(), DescriptionError> {
    for (key, _) in node.entries() {
        if key.strip_prefix(EXTENSION_PREFIX).is_some_and(|name| !known.contains(&name)) {
            return Err(DescriptionError::UnknownExtension {
                location: location.to_owned(),
                key: key.clone(),
            });
        }
    }
    Ok(())
}

fn read_units(node: &Node, location: &str) -> Result<f64, DescriptionError> {
    match node {
        Node::Number(units) if units.is_finite() && *units > 0.0 => Ok(*units),
        _ => Err(DescriptionError::InvalidUnits(location.to_owned())),
    }
}

fn read_name(node: &Node, key: &'static str, location: &str) -> Result<String, DescriptionError> {
    let text = node.text().filter(|text| !text.is_empty());
    text.map(str::to_owned)
        .ok_or_else(|| DescriptionError::InvalidName { key, location: location.to_owned() })
}

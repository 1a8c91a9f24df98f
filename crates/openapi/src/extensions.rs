//! The `x-snowfield-` extensions: units, class and service as stated at one place.

use crate::error::DescriptionError;
use crate::node::Node;

const PREFIX: &str = "x-snowfield-";
/// What an operation, or a default, may state.
const STATEMENTS: [&str; 3] = ["units", "class", "service"];

/// Units, class and service as stated at one place.
#[derive(Clone, Debug, Default)]
pub(crate) struct Statements {
    pub(crate) units: Option<f64>,
    pub(crate) class: Option<String>,
    pub(crate) service: Option<String>,
}

impl Statements {
    /// What an operation states itself.
    pub(crate) fn of_operation(operation: &Node, place: &str) -> Result<Self, DescriptionError> {
        reject_unknown(operation, place, &STATEMENTS)?;
        let get = |key: &str| operation.get(&format!("{PREFIX}{key}"));
        Self::read(get, place)
    }

    /// What the `x-snowfield-default` of a path or a description states.
    pub(crate) fn default_of(node: &Node, place: &str) -> Result<Self, DescriptionError> {
        let Some(default) = node.get("x-snowfield-default") else { return Ok(Self::default()) };
        let place = format!("x-snowfield-default of {place}");
        let is_unknown = |(key, _): &&(String, Node)| !STATEMENTS.contains(&key.as_str());
        if let Some((key, _)) = default.entries().iter().find(is_unknown) {
            return Err(DescriptionError::UnknownDefault { place, key: key.clone() });
        }
        if default.entries().is_empty() {
            return Err(DescriptionError::EmptyDefault(place));
        }
        Self::read(|key| default.get(key), &place)
    }

    fn read<'a>(get: impl Fn(&str) -> Option<&'a Node>, place: &str) -> Result<Self, DescriptionError> {
        Ok(Self {
            units: get("units").map(|node| read_units(node, place)).transpose()?,
            class: get("class").map(|node| read_name(node, "class", place)).transpose()?,
            service: get("service").map(|node| read_name(node, "service", place)).transpose()?,
        })
    }

    /// What is stated here, or else there.
    pub(crate) fn or(self, fallback: &Self) -> Self {
        Self {
            units: self.units.or(fallback.units),
            class: self.class.or_else(|| fallback.class.clone()),
            service: self.service.or_else(|| fallback.service.clone()),
        }
    }
}

/// A mistyped extension must not pass for a missing one.
pub(crate) fn reject_unknown(node: &Node, place: &str, known: &[&str]) -> Result<(), DescriptionError> {
    for (key, _) in node.entries() {
        if key.strip_prefix(PREFIX).is_some_and(|name| !known.contains(&name)) {
            return Err(DescriptionError::UnknownExtension { place: place.to_owned(), key: key.clone() });
        }
    }
    Ok(())
}

fn read_units(node: &Node, place: &str) -> Result<f64, DescriptionError> {
    match node {
        Node::Number(units) if units.is_finite() && *units > 0.0 => Ok(*units),
        _ => Err(DescriptionError::InvalidUnits(place.to_owned())),
    }
}

fn read_name(node: &Node, what: &'static str, place: &str) -> Result<String, DescriptionError> {
    let text = node.text().filter(|text| !text.is_empty());
    text.map(str::to_owned).ok_or_else(|| DescriptionError::InvalidName { what, place: place.to_owned() })
}

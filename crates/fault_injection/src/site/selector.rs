//! Which nodes a fault names.

/// The zones, in which gatekeepers and backends are by turns.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// The zone of a node, if it is in one: the load is in none, and stand-ins without a number are in the first.
fn zone(node: &str) -> Option<&'static str> {
    let number = |prefix: char| node.strip_prefix(prefix)?.parse::<usize>().ok();
    match number('m').or_else(|| number('l')) {
        Some(number) => Some(ZONES[number % ZONES.len()]),
        None if node == "load" => None,
        None => Some(ZONES[0]),
    }
}

/// Whether a selector (a name, `zone:a`, `region:north` or `*`) includes a node.
pub(super) fn selects(selector: &str, node: &str) -> bool {
    match selector.split_once(':') {
        Some(("zone", name)) => zone(node) == Some(name),
        Some(("region", "north")) => matches!(zone(node), Some("a" | "b")),
        Some(("region", "south")) => zone(node) == Some("c"),
        _ => selector == "*" || selector == node,
    }
}

#[cfg(test)]
mod tests;

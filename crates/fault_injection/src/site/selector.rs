//! Selectors: the names of nodes, zones and regions in faults.

/// The zones, to which gatekeepers and backends are assigned in turn by their number.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// The zone of a node. The node of the clients is in no zone, and stand-ins without a number are in the first one.
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

//! Selection of nodes by name, zone and region.

use super::selects;

#[test]
fn a_selector_names_nodes_zones_and_regions() {
    assert!(selects("m4", "m4") && !selects("m4", "m1"));
    assert!(selects("zone:b", "m4") && selects("zone:b", "l1") && !selects("zone:b", "counter"));
    assert!(selects("region:south", "m2") && selects("region:north", "consul"));
    assert!(!selects("region:south", "load"));
    assert!(selects("*", "load"));
}

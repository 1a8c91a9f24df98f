//! Text of each source of an endpoint list on the console.

use super::*;

#[test]
fn each_list_origin_is_described_by_its_text() {
    let age = Duration::from_secs(42);
    for (origin, text) in [
        (ListOrigin::NoList, "no list yet"),
        (ListOrigin::CacheFile { age }, "the list on disk, 42 s old at the start"),
        (ListOrigin::Agent(([127, 0, 0, 1], 8500).into()), "agent 127.0.0.1:8500"),
    ] {
        assert_eq!(origin.to_string(), text);
    }
}

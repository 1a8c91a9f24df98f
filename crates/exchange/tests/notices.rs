//! Each notice of the policy is listed on the on-call page with the text that is logged.

use policy::Notice;

#[test]
fn each_notice_is_on_the_on_call_page() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/ONCALL.md");
    let page = std::fs::read_to_string(page).expect("the on-call page can be read");
    for notice in [Notice::CounterSilent, Notice::CounterRecovered] {
        let line = format!("`{notice}`");
        assert!(page.contains(&line), "missing on the on-call page: {line}");
    }
}

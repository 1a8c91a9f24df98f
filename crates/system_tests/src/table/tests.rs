//! Rows with and without bounds.

use super::*;

#[test]
fn a_table_shows_figures_bounds_and_what_is_out_of_them() {
    let mut table = Table::default();
    table.add("size", "3 gatekeepers");
    table.at_most("lag, s", 0.25, 1.0);
    table.at_least("served", 3.0, 4.5);
    let text = "| what | measured | bound | |\n| --- | --- | --- | --- |\n\
                | size | 3 gatekeepers |  |  |\n\
                | lag, s | 0.250 | at most 1 | ok |\n\
                | served | 3 | at least 4.500 | OUT OF BOUNDS |\n";
    assert_eq!(table.markdown(), text);
    assert!(!table.print());
}

#[test]
fn a_percentile_is_one_of_the_figures() {
    let sorted = [1.0, 2.0, 3.0, 4.0];
    assert_eq!([0.0, 0.5, 0.51, 1.0].map(|share| percentile(&sorted, share)), [1.0, 2.0, 3.0, 4.0]);
    assert_eq!(percentile(&[], 0.5), 0.0);
}

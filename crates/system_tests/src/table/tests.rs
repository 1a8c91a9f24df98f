//! Table rows with and without bounds.

use super::*;

#[test]
fn a_table_marks_figures_that_are_out_of_bounds() {
    let mut table = Table::default();
    table.add("size", "3 gatekeepers");
    table.add_with_maximum("lag, s", 0.25, 1.0);
    table.add_with_minimum("served", 3.0, 4.5);
    let text = "| what | measured | bound | |\n| --- | --- | --- | --- |\n\
                | size | 3 gatekeepers |  |  |\n\
                | lag, s | 0.250 | at most 1 | ok |\n\
                | served | 3 | at least 4.500 | OUT OF BOUNDS |\n";
    assert_eq!(table.markdown(), text);
    assert_eq!(table.print(), Verdict::OutOfBounds);
}

#[test]
fn conditions_and_violations_are_rows_with_bounds() {
    let mut table = Table::default();
    table.add_condition("log says so", true);
    assert_eq!(table.print(), Verdict::WithinBounds);
    table.add_condition("status says so", false);
    let violation = Violation::new("no exit unasked", "m0 exited");
    table.add_violations("mixed: ", &[violation]);
    let rows = "| log says so | 1 | at least 1 | ok |\n\
                | status says so | 0 | at least 1 | OUT OF BOUNDS |\n\
                | mixed: broken: no exit unasked: m0 exited | 1 | at most 0 | OUT OF BOUNDS |\n";
    assert!(table.markdown().ends_with(rows), "{}", table.markdown());
    assert_eq!(table.print(), Verdict::OutOfBounds);
}

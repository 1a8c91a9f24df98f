//! Tables of measured figures and their bounds.

#[cfg(test)]
mod tests;

use crate::Verdict;
use fault_harness::violation::Violation;
use std::fmt::Display;
use std::time::Duration;

struct Row {
    name: String,
    figure: String,
    /// Empty for a figure without a bound.
    bound: String,
    is_within_bound: bool,
}

/// A table of measured figures, each with or without a bound.
#[derive(Default)]
pub struct Table {
    rows: Vec<Row>,
}

impl Table {
    /// Adds a figure that has no bound.
    pub fn add(&mut self, name: &str, figure: impl Display) {
        self.push(name, figure.to_string(), String::new(), true);
    }

    /// Adds a figure that is out of bounds above `maximum`.
    pub fn add_with_maximum(&mut self, name: &str, figure: f64, maximum: f64) {
        let bound = format!("at most {}", format_number(maximum));
        self.push(name, format_number(figure), bound, figure <= maximum);
    }

    /// Adds a figure that is out of bounds below `minimum`.
    pub fn add_with_minimum(&mut self, name: &str, figure: f64, minimum: f64) {
        let bound = format!("at least {}", format_number(minimum));
        self.push(name, format_number(figure), bound, figure >= minimum);
    }

    /// Adds a condition as a figure: 1 if the condition holds; 0, which is out of bounds, if it does not.
    pub fn add_condition(&mut self, name: &str, holds: bool) {
        self.add_with_minimum(name, f64::from(u8::from(holds)), 1.0);
    }

    /// Adds each violation as a row that is out of bounds. The name of each row starts with `prefix`.
    pub fn add_violations(&mut self, prefix: &str, violations: &[Violation]) {
        for violation in violations {
            let name = format!("{prefix}broken: {}: {}", violation.rule, violation.text);
            self.add_with_maximum(&name, 1.0, 0.0);
        }
    }

    fn push(&mut self, name: &str, figure: String, bound: String, is_within_bound: bool) {
        self.rows.push(Row { name: name.to_owned(), figure, bound, is_within_bound });
    }

    /// Prints the table as Markdown and returns the verdict on all its bounds.
    pub fn print(&self) -> Verdict {
        print!("{}", self.markdown());
        let all_within_bounds = self.rows.iter().all(|row| row.is_within_bound);
        if all_within_bounds { Verdict::WithinBounds } else { Verdict::OutOfBounds }
    }

    fn markdown(&self) -> String {
        let head = "| what | measured | bound | |\n| --- | --- | --- | --- |\n".to_owned();
        self.rows.iter().map(Row::markdown).fold(head, |text, row| text + &row)
    }
}

impl Row {
    fn markdown(&self) -> String {
        let Self { name, figure, bound, is_within_bound } = self;
        let verdict = match (bound.is_empty(), is_within_bound) {
            (true, _) => "",
            (false, true) => "ok",
            (false, false) => "OUT OF BOUNDS",
        };
        format!("| {name} | {figure} | {bound} | {verdict} |\n")
    }
}

fn format_number(figure: f64) -> String {
    if figure.fract() == 0.0 && figure.abs() < 1e15 { format!("{figure:.0}") } else { format!("{figure:.3}") }
}

/// Converts a duration to seconds for a table. `None` stands for an event that never happened and becomes infinity.
pub fn seconds_or_infinity(duration: Option<Duration>) -> f64 {
    duration.map_or(f64::INFINITY, |duration| duration.as_secs_f64())
}

/// Converts a duration to milliseconds for a table.
pub fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

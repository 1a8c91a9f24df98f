//! Tables of figures with bounds.

#[cfg(test)]
mod tests;

use std::fmt::Display;

struct Row {
    name: String,
    figure: String,
    /// Empty for a figure without a bound.
    bound: String,
    holds: bool,
}

/// Rows of figures, some of them with bounds.
#[derive(Default)]
pub struct Table {
    rows: Vec<Row>,
}

impl Table {
    /// Adds a figure without a bound.
    pub fn add(&mut self, name: &str, figure: impl Display) {
        self.push(name, figure.to_string(), String::new(), true);
    }

    /// Adds a figure that must be at most this.
    pub fn at_most(&mut self, name: &str, figure: f64, limit: f64) {
        self.push(name, format_number(figure), format!("at most {}", format_number(limit)), figure <= limit);
    }

    /// Adds a figure that must be at least this.
    pub fn at_least(&mut self, name: &str, figure: f64, limit: f64) {
        self.push(name, format_number(figure), format!("at least {}", format_number(limit)), figure >= limit);
    }

    fn push(&mut self, name: &str, figure: String, bound: String, holds: bool) {
        self.rows.push(Row { name: name.to_owned(), figure, bound, holds });
    }

    /// Prints it as Markdown; tells whether all bounds hold.
    pub fn print(&self) -> bool {
        print!("{}", self.markdown());
        self.rows.iter().all(|row| row.holds)
    }

    fn markdown(&self) -> String {
        let head = "| what | measured | bound | |\n| --- | --- | --- | --- |\n".to_owned();
        self.rows.iter().map(Row::markdown).fold(head, |text, row| text + &row)
    }
}

impl Row {
    fn markdown(&self) -> String {
        let Self { name, figure, bound, holds } = self;
        let verdict = match (bound.is_empty(), holds) {
            (true, _) => "",
            (false, true) => "ok",
            (false, false) => "OUT OF BOUNDS",
        };
        format!("| {name} | {figure} | {bound} | {verdict} |\n")
    }
}

/// The last words of a system test: whether all bounds hold.
pub fn verdict(all_hold: bool) -> &'static str {
    if all_hold { "all within bounds" } else { "OUT OF BOUNDS" }
}

fn format_number(figure: f64) -> String {
    if figure.fract() == 0.0 && figure.abs() < 1e15 { format!("{figure:.0}") } else { format!("{figure:.3}") }
}

/// The value below which this share of the sorted figures lies.
pub fn percentile(sorted: &[f64], share: f64) -> f64 {
    let rank = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1));
    sorted.get(rank - 1).copied().unwrap_or(0.0)
}

/// Microseconds as seconds.
pub fn seconds(us: u64) -> f64 {
    us as f64 / 1e6
}

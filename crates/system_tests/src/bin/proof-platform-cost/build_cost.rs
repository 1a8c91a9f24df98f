//! The cost of a build over all its turns.

use crate::turn::TurnCost;
use system_tests::{Table, percentile};

/// The cost of a build over all its turns.
#[derive(Clone, Default)]
pub(crate) struct BuildCost {
    /// Processor time for each request of each turn in microseconds, sorted.
    sorted_cpu_us: Vec<f64>,
    /// Maximum resident memory at the end of a turn, kB.
    max_memory_kb: u64,
}

impl BuildCost {
    pub(crate) fn add(&mut self, turn: &TurnCost) {
        self.sorted_cpu_us.push(turn.cpu_us_per_request);
        self.sorted_cpu_us.sort_by(f64::total_cmp);
        self.max_memory_kb = self.max_memory_kb.max(turn.memory_kb);
    }

    /// Returns the median of the processor time for each request, us.
    pub(crate) fn median_cpu_us(&self) -> f64 {
        percentile(&self.sorted_cpu_us, 0.5)
    }

    /// Adds the figures of the build with this number.
    pub(crate) fn add_to(&self, table: &mut Table, build: usize) {
        let minimum = percentile(&self.sorted_cpu_us, 0.0);
        let maximum = percentile(&self.sorted_cpu_us, 1.0);
        let name = format!("build {build}: us of processor time a request, median (least to most)");
        table.add(&name, format!("{:.1} ({minimum:.1} to {maximum:.1})", self.median_cpu_us()));
        table.add(&format!("build {build}: kB held at the most"), self.max_memory_kb);
    }
}

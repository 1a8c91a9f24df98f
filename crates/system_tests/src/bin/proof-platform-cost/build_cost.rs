//! Processor time and memory of a build over all its turns.

use crate::turn::TurnCost;
use system_tests::{Distribution, Table};

/// Processor time and memory of a build over all its turns.
#[derive(Clone, Default)]
pub(crate) struct BuildCost {
    /// Processor time per request, one sample for each turn, us.
    cpu_us: Distribution,
    /// Maximum resident memory at the end of a turn, kB.
    max_memory_kb: u64,
}

impl BuildCost {
    pub(crate) fn add(&mut self, turn: &TurnCost) {
        self.cpu_us.extend([turn.cpu_us_per_request]);
        self.max_memory_kb = self.max_memory_kb.max(turn.memory_kb);
    }

    /// Returns the median over all turns of the processor time per request, us.
    pub(crate) fn median_cpu_us(&self) -> f64 {
        self.cpu_us.median()
    }

    /// Adds the figures of this build to the table. `build` is the position of the build on the command line, from 0.
    pub(crate) fn add_to(&self, table: &mut Table, build: usize) {
        let minimum = self.cpu_us.percentile(0.0);
        let maximum = self.cpu_us.percentile(1.0);
        let name = format!("build {build}: us of processor time a request, median (least to most)");
        table.add(&name, format!("{:.1} ({minimum:.1} to {maximum:.1})", self.median_cpu_us()));
        table.add(&format!("build {build}: kB held at the most"), self.max_memory_kb);
    }
}

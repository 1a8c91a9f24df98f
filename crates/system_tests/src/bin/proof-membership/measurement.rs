//! Measurement of a cluster of one size.

use crate::cluster::{AGREEMENT_TIMEOUT, Cluster, MassDeathResult, PartitionResult};
use std::time::Duration;
use system_tests::Table;

/// Head of the table whose rows [`Measurement::print_row`] prints.
pub(crate) const TABLE_HEAD: &str = "| members | all see all, s | calm, bytes a s and member | half die: all know, s | bytes for each member by then | \
    half apart: each side knows, s | healed: all see all, s | bytes for each member | stopped for a minute: back, s | \
    took, s |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";
/// Maximum time from the death of half of the members until all survivors know of it, s.
const MAX_MASS_DEATH_DETECTION_S: f64 = 10.0;

/// Times and traffic of a cluster of one size.
pub(crate) struct Measurement {
    members: usize,
    joined_after: Duration,
    fault_free_bytes_per_second: f64,
    partition: PartitionResult,
    /// Time from the end of the suspension of a member until all members agree; `None` if this was not measured.
    rejoined_after: Option<Duration>,
    mass_death: MassDeathResult,
    /// Real time that the measurement took.
    elapsed: Duration,
}

impl Measurement {
    pub(crate) fn run(members: usize, gossip_period: Duration) -> Self {
        let mut cluster = Cluster::start(members, gossip_period);
        let joined_after = cluster.advance_until_agreement();
        let fault_free_bytes_per_second = cluster.fault_free_bytes_per_second();
        cluster.print_progress(&format!(
            "joined after {} ms, {fault_free_bytes_per_second:.0} B/s per member without faults",
            joined_after.as_millis()
        ));
        let partition = cluster.partition();
        let rejoined_after = cluster.suspend_member();
        cluster.print_progress(&format!(
            "agreement after a suspension, s: {}",
            format_optional_cell(rejoined_after)
        ));
        let mass_death = cluster.kill_half();
        let elapsed = cluster.elapsed();
        Self {
            members,
            joined_after,
            fault_free_bytes_per_second,
            partition,
            rejoined_after,
            mass_death,
            elapsed,
        }
    }

    pub(crate) fn print_row(&self) {
        println!(
            "| {} | {} | {:.0} | {} | {} | {} | {} | {} | {} | {:.0} |",
            self.members,
            format_cell(self.joined_after),
            self.fault_free_bytes_per_second,
            format_cell(self.mass_death.detected_after),
            self.mass_death.bytes_per_survivor,
            format_cell(self.partition.detected_after),
            format_cell(self.partition.healed_after),
            self.partition.bytes_per_member,
            format_optional_cell(self.rejoined_after),
            self.elapsed.as_secs_f64()
        );
    }

    /// Adds the figure that has a bound.
    pub(crate) fn add_to(&self, table: &mut Table) {
        let name = format!("{}: half die, all know, s", self.members);
        let detected_after_s = self.mass_death.detected_after.as_secs_f64();
        table.add_with_maximum(&name, detected_after_s, MAX_MASS_DEATH_DETECTION_S);
    }
}

/// Formats a time until agreement in seconds, or as `never` if it reached [`AGREEMENT_TIMEOUT`].
fn format_cell(duration: Duration) -> String {
    if duration >= AGREEMENT_TIMEOUT { "never".into() } else { format!("{:.1}", duration.as_secs_f64()) }
}

fn format_optional_cell(duration: Option<Duration>) -> String {
    duration.map_or_else(|| "not tried".into(), format_cell)
}

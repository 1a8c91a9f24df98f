//! Collects observations from all threads.

use super::{Observation, Record, now_us};
use fault_harness::sync::lock;
use std::sync::{Arc, Mutex, MutexGuard};

/// A list of observations with their times. Clones share one list.
#[derive(Clone, Debug, Default)]
pub struct Recorder(Arc<Mutex<Vec<Record>>>);

impl Recorder {
    fn records(&self) -> MutexGuard<'_, Vec<Record>> {
        lock(&self.0)
    }

    /// Records an observation with the current time.
    pub fn record(&self, observation: Observation) {
        // The clock is read under the lock, so that the list is ordered by time.
        let mut records = self.records();
        records.push(Record { at_us: now_us(), observation });
    }

    /// Records an observation with the time that its process reports. A time in the future is replaced by the current time.
    pub fn record_at(&self, at_us: u64, observation: Observation) {
        let mut records = self.records();
        records.push(Record { at_us: at_us.min(now_us()), observation });
    }

    /// All records so far, ordered by time.
    pub fn records_by_time(&self) -> Vec<Record> {
        let mut records = self.records().clone();
        records.sort_by_key(|record| record.at_us);
        records
    }
}

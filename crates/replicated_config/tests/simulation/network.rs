//! The simulated network: messages are delayed, lost and duplicated, and partitions separate machines.

use replicated_config::Message;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;
use std::time::Duration;
use timestamps::{MonotonicTime, whole_millis};

/// Minimum latency of a message.
const MIN_LATENCY: Duration = Duration::from_millis(1);
/// Exclusive upper bound of the latency of a message.
const MAX_LATENCY: Duration = Duration::from_millis(8);

/// A sent message that has not arrived yet. Messages are ordered by arrival time, then by the order of sending.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InFlightMessage {
    arrives_at: MonotonicTime,
    serial: u64,
    pub from: usize,
    pub to: usize,
    pub bytes: Vec<u8>,
}

/// The network between the machines.
pub struct Network {
    in_flight: BinaryHeap<Reverse<InFlightMessage>>,
    /// Number of messages that were sent and not lost.
    sent_message_count: u64,
    /// The network segment of each machine. Machines of the same segment reach each other.
    pub segment_of_machine: Vec<u8>,
    /// Probability that a message is lost. A message is duplicated with half this probability.
    pub loss_probability: f64,
}

impl Network {
    /// Creates a network without faults.
    pub fn new(machine_count: usize) -> Self {
        Self {
            in_flight: BinaryHeap::new(),
            sent_message_count: 0,
            segment_of_machine: vec![0; machine_count],
            loss_probability: 0.0,
        }
    }

    /// Returns the number of messages that were sent and not lost.
    pub fn sent_message_count(&self) -> u64 {
        self.sent_message_count
    }

    /// Ends all partitions.
    pub fn end_partitions(&mut self) {
        self.segment_of_machine.fill(0);
    }

    /// Sends a message, which may be delayed, lost or duplicated.
    pub fn send(
        &mut self,
        now: MonotonicTime,
        random: &mut fastrand::Rng,
        from: usize,
        to: usize,
        message: &Message,
    ) {
        let copies = 1 + usize::from(random.f64() < self.loss_probability / 2.0);
        for _ in 0..copies {
            if self.segment_of_machine[from] == self.segment_of_machine[to]
                && random.f64() >= self.loss_probability
            {
                self.sent_message_count += 1;
                let arrives_at = now + random_millis(random, MIN_LATENCY..MAX_LATENCY);
                let bytes = message.encode();
                let message =
                    InFlightMessage { arrives_at, serial: self.sent_message_count, from, to, bytes };
                self.in_flight.push(Reverse(message));
            }
        }
    }

    /// Removes and returns the next message that has arrived by `now`.
    pub fn receive(&mut self, now: MonotonicTime) -> Option<InFlightMessage> {
        let next = self.in_flight.peek()?;
        if next.0.arrives_at > now {
            return None;
        }
        self.in_flight.pop().map(|Reverse(message)| message)
    }
}

/// Draws a random duration in whole milliseconds from this range.
pub fn random_millis(random: &mut fastrand::Rng, range: Range<Duration>) -> Duration {
    Duration::from_millis(random.u64(whole_millis(range.start)..whole_millis(range.end)))
}

//! Broadcast topics: the known version of each topic, and received broadcasts that the driver has not taken yet.

use crate::Member;
use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A broadcast. Gossip carries it encoded with postcard: the order and the types of the fields are the wire format.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Broadcast {
    pub(crate) topic: String,
    pub(crate) version: u64,
    pub(crate) body: Vec<u8>,
}

/// The known versions of all topics.
#[derive(Debug, Default)]
pub(crate) struct Topics {
    versions: HashMap<String, u64>,
    max_topics: usize,
    /// Broadcasts received and not yet taken by [`Topics::take_received`].
    received: Vec<Broadcast>,
    over_capacity: u64,
}

impl Topics {
    /// Removes the topics for which `keep` returns false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.versions.retain(|topic, _| keep(topic));
    }

    /// Takes the broadcasts received since the last call.
    pub(crate) fn take_received(&mut self) -> Vec<Broadcast> {
        std::mem::take(&mut self.received)
    }

    /// Returns the number of broadcasts dropped because the topic limit was reached.
    pub(crate) fn over_capacity(&self) -> u64 {
        self.over_capacity
    }

    /// Records a version if it is newer than the known one and there is capacity for its topic. Returns whether the version
    /// was recorded.
    fn record_version(&mut self, topic: &str, version: u64) -> bool {
        let full = self.versions.len() >= self.max_topics;
        match self.versions.get_mut(topic) {
            Some(known) if *known >= version => false,
            Some(known) => {
                *known = version;
                true
            }
            None if full => {
                self.over_capacity += 1;
                false
            }
            None => {
                self.versions.insert(topic.to_owned(), version);
                true
            }
        }
    }
}

/// The topics, shared by [`Membership`](crate::Membership) and by the broadcast handler that the SWIM state machine owns.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedTopics(Arc<Mutex<Topics>>);

impl SharedTopics {
    pub(crate) fn new(max_topics: usize) -> Self {
        Self(Arc::new(Mutex::new(Topics { max_topics, ..Topics::default() })))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Topics> {
        // Each critical section makes one change, so a poisoned lock still guards a consistent state.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The key of a broadcast in foca's dissemination queue.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct BroadcastKey {
    topic: String,
    version: u64,
}

impl Invalidates for BroadcastKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.topic == other.topic && self.version >= other.version
    }
}

impl BroadcastHandler<Member> for SharedTopics {
    type Key = BroadcastKey;
    type Error = postcard::Error;

    fn receive_item(
        &mut self,
        data: &[u8],
        from: Option<&Member>,
    ) -> Result<Option<BroadcastKey>, postcard::Error> {
        let broadcast: Broadcast = postcard::from_bytes(data)?;
        let mut topics = self.lock();
        if !topics.record_version(&broadcast.topic, broadcast.version) {
            return Ok(None);
        }
        let key = BroadcastKey { topic: broadcast.topic.clone(), version: broadcast.version };
        // A broadcast without a sender was made by this instance itself, so the driver knows it already.
        if from.is_some() {
            topics.received.push(broadcast);
        }
        Ok(Some(key))
    }
}

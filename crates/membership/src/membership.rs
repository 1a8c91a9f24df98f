//! The membership state machine of one instance.

use crate::authentication::Keyring;
use crate::bulk_failure::{self, BulkFailureDissemination, MemberFingerprint};
use crate::swim::{Swim, SwimEffects, TimerQueue};
use crate::topics::{Broadcast, SharedTopics};
use crate::{Config, Counts, MAX_DATAGRAM_BYTES, Member, MemberStatus, Output};
use foca::{Foca, PostcardCodec};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use std::collections::HashSet;
use std::net::SocketAddr;
use timestamps::MonotonicTime;

/// The exclusive size limit of an encoded broadcast, half a datagram, so that one broadcast does not fill a datagram.
const MAX_BROADCAST_BYTES: usize = MAX_DATAGRAM_BYTES / 2;
/// The time between two join attempts while other members are alive, in join periods.
const JOIN_PERIODS_WITH_MEMBERS: u32 = 10;

/// One instance's view of the members of the cluster.
///
/// `now` is a reading of the driver's monotonic clock. Methods append their outputs to `out`.
pub struct Membership {
    swim: Swim,
    topics: SharedTopics,
    keyring: Keyring,
    config: Config,
    bulk_failure: BulkFailureDissemination,
    rng: StdRng,
    timers: TimerQueue,
    next_join: MonotonicTime,
    counts: Counts,
    has_left: bool,
}

impl Membership {
    /// Creates the membership of an instance that knows no other member. The first [`Membership::tick`] contacts the seed
    /// peers.
    pub fn new(config: Config, keyring: Keyring) -> Self {
        let topics = SharedTopics::new(config.max_topics);
        let mut swim_rng = StdRng::seed_from_u64(config.rng_seed);
        let rng = StdRng::from_rng(&mut swim_rng);
        let local_member = config.local_member.clone();
        let swim =
            Foca::with_custom_broadcast(local_member, config.swim(), swim_rng, PostcardCodec, topics.clone());
        Self {
            swim,
            topics,
            keyring,
            bulk_failure: BulkFailureDissemination::new(config.gossip_period, config.suspicion_timeout),
            rng,
            config,
            timers: TimerQueue::default(),
            next_join: MonotonicTime::ZERO,
            counts: Counts::default(),
            has_left: false,
        }
    }

    /// Returns the names of the live members, including this instance, sorted and without duplicates.
    pub fn alive_names(&self) -> Vec<String> {
        let mut names: Vec<String> =
            self.swim.iter_members().map(|member| member.id().name.clone()).collect();
        names.push(self.config.local_member.name.clone());
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Returns the gossip addresses of the live members, excluding this instance.
    pub fn alive_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.swim.iter_members().map(|member| member.id().address)
    }

    /// Returns the names shared by several live members, including this instance. [`Membership::alive_names`] lists each of
    /// them once.
    pub fn duplicate_names(&self) -> Vec<String> {
        let others = self.swim.iter_members().map(|member| &member.id().name);
        let mut names: Vec<&String> = others.chain([&self.config.local_member.name]).collect();
        names.sort_unstable();
        let duplicates = names.windows(2).filter(|pair| pair[0] == pair[1]).map(|pair| pair[0].clone());
        let mut duplicates: Vec<String> = duplicates.collect();
        duplicates.dedup();
        duplicates
    }

    /// Returns the number of live members, including this instance.
    pub fn alive_count(&self) -> usize {
        self.swim.num_members() + 1
    }

    /// Returns all known members, excluding this instance, sorted by name.
    pub fn members(&self) -> Vec<MemberStatus> {
        let mut members: Vec<MemberStatus> = self
            .swim
            .iter_membership_state()
            .map(|state| MemberStatus {
                member: state.id().clone(),
                alive: state.state() != foca::State::Down,
            })
            .collect();
        members.sort_by(|a, b| a.member.name.cmp(&b.member.name));
        members
    }

    /// Returns the counters since this membership was created.
    pub fn counts(&self) -> Counts {
        let over_capacity = self.counts.over_capacity + self.topics.lock().over_capacity();
        Counts { over_capacity, ..self.counts }
    }

    /// Replaces the keys that sign and verify datagrams.
    pub fn set_keyring(&mut self, keyring: Keyring) {
        self.keyring = keyring;
    }

    /// Returns the time at which the caller must call [`Membership::tick`] next.
    pub fn next_tick(&self) -> MonotonicTime {
        let next_timer = self.timers.next_due().unwrap_or(MonotonicTime::NEVER);
        next_timer.min(self.next_join).min(self.bulk_failure.next_poll())
    }

    /// Runs the timers that are due: joins, probes, gossip and bulk failure dissemination.
    pub fn tick(&mut self, now: MonotonicTime, out: &mut Vec<Output>) {
        if self.has_left {
            return;
        }
        if now >= self.next_join {
            self.join(now, out);
        }
        while let Some(timer) = self.timers.pop_due(now) {
            self.call_swim(now, out, |swim, effects| swim.handle_timer(timer, effects));
        }
        if now >= self.bulk_failure.next_poll() {
            self.disseminate_bulk_failure(now, out);
        }
    }

    /// Announces this instance to the seed peers that are not among the live members. While other members are alive, the
    /// announcements are less frequent. They still heal a partition that lasted longer than the retention of dead members.
    fn join(&mut self, now: MonotonicTime, out: &mut Vec<Output>) {
        let alone = self.swim.num_members() == 0;
        let periods = if alone { 1 } else { JOIN_PERIODS_WITH_MEMBERS };
        self.next_join = now + self.config.join_period * periods;
        let alive: Vec<SocketAddr> = self.alive_addresses().collect();
        for address in self.config.seed_peers.clone() {
            if address != self.config.local_member.address && !alive.contains(&address) {
                let peer = Member { address, name: String::new(), generation: 0 };
                self.call_swim(now, out, |swim, effects| swim.announce(peer, effects));
            }
        }
    }

    /// Sends the digest of the known failures to a random member while bulk failure dissemination is active.
    fn disseminate_bulk_failure(&mut self, now: MonotonicTime, out: &mut Vec<Output>) {
        let states = self.swim.iter_membership_state();
        let suspects = states.filter(|state| state.state() == foca::State::Suspect).count();
        if let Some(digest) = self.bulk_failure.poll(now, suspects, self.swim.num_members())
            && let Some(to) = self.swim.iter_members().choose(&mut self.rng).map(|member| member.id().address)
        {
            let reply_to = self.config.local_member.address;
            self.send(to, &bulk_failure::Message::Digest { reply_to, digest }.encode(), out);
        }
    }

    /// Handles a received datagram. A datagram that is not authentic or cannot be decoded is dropped and counted.
    pub fn handle_datagram(&mut self, now: MonotonicTime, bytes: &[u8], out: &mut Vec<Output>) {
        if self.has_left {
            return;
        }
        let Some(payload) = self.keyring.verify(bytes) else {
            self.counts.authentication_failures += 1;
            return;
        };
        match bulk_failure::Message::decode(payload) {
            Some(Ok(message)) => {
                self.counts.datagrams_accepted += 1;
                self.handle_bulk_failure(now, message, out);
            }
            Some(Err(_)) => self.counts.malformed += 1,
            None => self.handle_swim_payload(now, payload, out),
        }
    }

    fn handle_swim_payload(&mut self, now: MonotonicTime, payload: &[u8], out: &mut Vec<Output>) {
        if self.swim.iter_membership_state().len() >= self.config.max_members {
            self.counts.over_capacity += 1;
            // foca adds each new sender to its members. At the limit, accept datagrams of known senders only.
            if !self.is_from_known_member(payload) {
                return;
            }
        }
        self.counts.datagrams_accepted += 1;
        self.call_swim(now, out, |swim, effects| swim.handle_data(payload, effects));
    }

    /// Returns whether a SWIM payload, which starts with its sender, comes from a known address.
    fn is_from_known_member(&self, payload: &[u8]) -> bool {
        postcard::take_from_bytes::<Member>(payload).is_ok_and(|(sender, _)| {
            self.swim.iter_membership_state().any(|state| state.id().address == sender.address)
        })
    }

    fn handle_bulk_failure(
        &mut self,
        now: MonotonicTime,
        message: bulk_failure::Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            bulk_failure::Message::Digest { reply_to, digest } => {
                let offset = self.rng.random_range(0..usize::MAX);
                for reply in self.bulk_failure.reply_to_digest(now, digest, offset) {
                    self.send(reply_to, &reply.encode(), out);
                }
            }
            bulk_failure::Message::FailedMembers(fingerprints) => {
                let fingerprints = fingerprints.into_iter().map(MemberFingerprint::from_bytes).collect();
                self.apply_failures(now, &fingerprints, out);
            }
        }
    }

    /// Declares the live members with these fingerprints dead. If this instance is among them, it rejoins.
    fn apply_failures(
        &mut self,
        now: MonotonicTime,
        fingerprints: &HashSet<MemberFingerprint>,
        out: &mut Vec<Output>,
    ) {
        let others = self.swim.iter_members().map(|member| member.id());
        let alive = others.chain([&self.config.local_member]);
        let failed: Vec<foca::Member<Member>> = alive
            .filter(|member| fingerprints.contains(&MemberFingerprint::of_member(member)))
            .map(|member| foca::Member::down(member.clone()))
            .collect();
        // Bulk failure dissemination spreads these failures, so they need not be piggybacked on gossip as well.
        let disseminate = false;
        self.call_swim(now, out, |swim, effects| swim.apply_many(failed.into_iter(), disseminate, effects));
    }

    /// Broadcasts a new version on a topic. A version that is not newer than the known one is ignored, and so is a broadcast
    /// that takes half a datagram or more.
    pub fn broadcast(
        &mut self,
        now: MonotonicTime,
        topic: &str,
        version: u64,
        body: &[u8],
        out: &mut Vec<Output>,
    ) {
        let broadcast = Broadcast { topic: topic.to_owned(), version, body: body.to_vec() };
        if let Ok(encoded) = postcard::to_stdvec(&broadcast)
            && encoded.len() < MAX_BROADCAST_BYTES
        {
            self.call_swim(now, out, |swim, _| swim.add_broadcast(&encoded).map(|_| ()));
            // Send the first hop at once. Later hops are piggybacked on gossip.
            self.call_swim(now, out, |swim, effects| swim.broadcast(effects));
        }
    }

    /// Forgets the versions of the topics for which `keep` returns false, which makes room for new topics.
    pub fn retain_topics(&mut self, keep: impl Fn(&str) -> bool) {
        self.topics.lock().retain(keep);
    }

    /// Announces to the cluster that this instance leaves. Later datagrams and ticks are ignored.
    pub fn leave(&mut self, now: MonotonicTime, out: &mut Vec<Output>) {
        if !self.has_left {
            self.call_swim(now, out, |swim, effects| swim.leave_cluster(effects));
            self.has_left = true;
        }
    }

    /// Calls the SWIM state machine and applies the effects.
    fn call_swim(
        &mut self,
        now: MonotonicTime,
        out: &mut Vec<Output>,
        call: impl FnOnce(&mut Swim, &mut SwimEffects) -> Result<(), foca::Error>,
    ) {
        let mut effects = SwimEffects::default();
        // An error affects only the current call. Of a datagram, foca has applied the contents before the error.
        if call(&mut self.swim, &mut effects).is_err() {
            self.counts.malformed += 1;
        }
        self.apply_effects(now, effects, out);
    }

    /// Applies the effects of a call: schedules timers, sends payloads, records failures and outputs received broadcasts.
    fn apply_effects(&mut self, now: MonotonicTime, effects: SwimEffects, out: &mut Vec<Output>) {
        for request in effects.timers {
            let delay = self.bulk_failure.timer_delay(now, request.delay, &request.timer);
            self.timers.schedule(now + delay, request.timer);
        }
        for outgoing in effects.payloads {
            self.send(outgoing.to, &outgoing.payload, out);
        }
        for fingerprint in effects.failed_members {
            self.bulk_failure.record_failure(now, fingerprint);
        }
        let received = self.topics.lock().take_received();
        for Broadcast { topic, version, body } in received {
            out.push(Output::Broadcast { topic, version, body });
        }
        if let Some(generation) = effects.rejoined_generation {
            self.config.local_member.generation = generation;
            out.push(Output::Rejoined { generation });
        }
        if effects.members_changed {
            out.push(Output::MembersChanged);
        }
    }

    /// Signs and sends a payload.
    fn send(&mut self, to: SocketAddr, payload: &[u8], out: &mut Vec<Output>) {
        let bytes = self.keyring.sign(payload);
        self.counts.datagrams_sent += 1;
        self.counts.bytes_sent += bytes.len() as u64;
        out.push(Output::SendDatagram { to, bytes });
    }
}

impl std::fmt::Debug for Membership {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Membership")
            .field("local_member", &self.config.local_member)
            .field("counts", &self.counts)
            .finish_non_exhaustive()
    }
}

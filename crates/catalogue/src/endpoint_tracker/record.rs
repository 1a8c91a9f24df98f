//! The history of one instance at one address.

use crate::{EligibilityReason, Endpoint, EndpointNumber, Instance, Millis, StabilityConfig};

/// Up to this count of flaps an instance that recovers is not held back: the first time is a restart.
const FREE_FLAPS: f64 = 1.5;
/// The hold doubles so many times at most, before its bound is applied.
const MAX_DOUBLINGS: f64 = 32.0;

/// What is known of an instance.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) number: EndpointNumber,
    pub(super) instance: Instance,
    /// It is in the last response.
    pub(super) listed: bool,
    pub(super) eligible: bool,
    pub(super) reason: EligibilityReason,
    pub(super) eligible_since: Option<Millis>,
    /// Times that it ceased to be eligible, halved in each half-life; as of `flapped_at`.
    pub(super) flaps: f64,
    flapped_at: Millis,
    healthy_since: Option<Millis>,
    /// It is eligible until this though it vanished.
    pub(super) retained_until: Option<Millis>,
    /// When it was first missing from a response.
    pub(super) left_at: Millis,
}

impl Record {
    /// An instance that is listed for the first time. One of the first list counts as having always been healthy.
    pub(super) fn new(number: EndpointNumber, instance: Instance, now: Millis, is_first_list: bool) -> Self {
        Self {
            number,
            instance,
            listed: true,
            eligible: false,
            reason: EligibilityReason::Deregistered,
            eligible_since: None,
            flaps: 0.0,
            flapped_at: now,
            healthy_since: is_first_list.then_some(0),
            retained_until: None,
            left_at: now,
        }
    }

    pub(super) fn endpoint(&self) -> Endpoint {
        Endpoint {
            number: self.number,
            instance: self.instance.clone(),
            eligible: self.eligible,
            reason: self.reason,
            eligible_since: self.eligible_since,
        }
    }

    pub(super) fn update_healthy_since(&mut self, now: Millis, config: &StabilityConfig) {
        let is_healthy =
            self.listed && self.instance.health <= config.minimum_health && self.instance.weight > 0.0;
        self.healthy_since = is_healthy.then(|| self.healthy_since.unwrap_or(now));
    }

    /// Decides whether it is eligible now. `is_address_used`: another eligible instance has its address.
    pub(super) fn decide(
        &self,
        now: Millis,
        config: &StabilityConfig,
        is_address_used: bool,
    ) -> EligibilityReason {
        if !self.listed {
            return match self.retained_until {
                Some(until) if now < until => EligibilityReason::Retained(until),
                _ => EligibilityReason::Deregistered,
            };
        }
        if self.instance.health > config.minimum_health {
            return EligibilityReason::Unhealthy(self.instance.health);
        }
        if self.instance.weight <= 0.0 {
            return EligibilityReason::ZeroWeight;
        }
        let held_until = self.held_until(now, config);
        if !self.eligible && now < held_until {
            EligibilityReason::Flapping(held_until)
        } else if is_address_used {
            EligibilityReason::DuplicateAddress
        } else {
            EligibilityReason::Listed
        }
    }

    /// Applies a decision, and returns whether it is a change that is worth a line in the log.
    pub(super) fn apply(
        &mut self,
        now: Millis,
        config: &StabilityConfig,
        reason: EligibilityReason,
        eligible_since: Option<Millis>,
    ) -> bool {
        let eligible = reason.is_eligible();
        let has_turned = eligible != self.eligible;
        if has_turned && eligible {
            self.eligible_since = eligible_since;
        } else if has_turned {
            self.flaps = self.decayed_flaps(now, config) + 1.0;
            self.flapped_at = now;
        }
        let was_away =
            matches!(self.reason, EligibilityReason::Unhealthy(_) | EligibilityReason::Deregistered);
        let is_suppressed = was_away && matches!(reason, EligibilityReason::Flapping(_));
        self.eligible = eligible;
        self.reason = reason;
        has_turned || is_suppressed
    }

    /// The end of its hold, which begins when it is healthy again.
    fn held_until(&self, now: Millis, config: &StabilityConfig) -> Millis {
        let healthy_since = self.healthy_since.unwrap_or(now);
        healthy_since + self.hold(now.min(healthy_since), config)
    }

    /// How long it is held back when it becomes healthy.
    fn hold(&self, at: Millis, config: &StabilityConfig) -> Millis {
        let flaps = self.decayed_flaps(at, config);
        if flaps < FREE_FLAPS {
            return 0;
        }
        let doublings = (flaps - 1.0).min(MAX_DOUBLINGS).floor() - 1.0;
        let hold = config.flap_hold as f64 * 2f64.powf(doublings);
        (hold as Millis).min(config.max_flap_hold)
    }

    fn decayed_flaps(&self, now: Millis, config: &StabilityConfig) -> f64 {
        let half_lives = now.saturating_sub(self.flapped_at) as f64 / config.flap_half_life.max(1) as f64;
        self.flaps * 0.5f64.powf(half_lives)
    }
}

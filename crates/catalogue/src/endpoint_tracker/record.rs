//! State and history of one instance at one address.

use super::flap_damping::FlapDamping;
use crate::{EligibilityReason, Endpoint, EndpointNumber, Instance, StabilityConfig};
use std::net::SocketAddr;
use timestamps::MonotonicTime;

/// Number of half-lives of the flap count for which the record of a deregistered instance that flapped is kept.
const REMEMBERED_HALF_LIVES: u32 = 4;

/// The last listed state of an instance, its eligibility, and its flap history.
#[derive(Clone, Debug)]
pub(super) struct InstanceRecord {
    number: EndpointNumber,
    instance: Instance,
    /// Whether the last health response lists the instance.
    listed: bool,
    eligible: bool,
    reason: EligibilityReason,
    eligible_since: Option<MonotonicTime>,
    flap_damping: FlapDamping,
    /// End of the retention after a sudden loss; `None` if the endpoint is not retained.
    retained_until: Option<MonotonicTime>,
    /// When the instance was last deregistered without being retained. If that has not happened, when the record was created.
    left_at: MonotonicTime,
}

impl InstanceRecord {
    /// Creates the record of an instance that is listed for the first time. An instance of the first list counts as healthy
    /// since time zero.
    pub(super) fn new(
        number: EndpointNumber,
        instance: Instance,
        now: MonotonicTime,
        is_first_list: bool,
    ) -> Self {
        Self {
            number,
            instance,
            listed: true,
            eligible: false,
            reason: EligibilityReason::Deregistered,
            eligible_since: None,
            flap_damping: FlapDamping::new(now, is_first_list.then_some(MonotonicTime::ZERO)),
            retained_until: None,
            left_at: now,
        }
    }

    pub(super) fn number(&self) -> EndpointNumber {
        self.number
    }

    pub(super) fn id(&self) -> &str {
        &self.instance.id
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.instance.address
    }

    pub(super) fn is_listed(&self) -> bool {
        self.listed
    }

    pub(super) fn is_eligible(&self) -> bool {
        self.eligible
    }

    pub(super) fn left_at(&self) -> MonotonicTime {
        self.left_at
    }

    /// Whether the endpoint list contains the instance.
    pub(super) fn is_listed_or_eligible(&self) -> bool {
        self.listed || self.eligible
    }

    /// Whether the last response dropped the instance while it was eligible. A retained instance vanished in an earlier response.
    pub(super) fn has_vanished(&self) -> bool {
        !self.listed && self.eligible && self.retained_until.is_none()
    }

    pub(super) fn is_retention_over(&self, now: MonotonicTime) -> bool {
        self.retained_until.is_some_and(|until| now >= until)
    }

    /// Whether the record is kept after a deregistration, because the instance flapped repeatedly and left recently.
    pub(super) fn is_remembered_for_flaps(&self, now: MonotonicTime, config: &StabilityConfig) -> bool {
        let remembered_until = self.left_at + config.flap_half_life * REMEMBERED_HALF_LIVES;
        self.flap_damping.has_repeated_flaps() && now < remembered_until
    }

    /// When the flap suppression or the retention of the instance ends; `None` without either.
    pub(super) fn deadline(&self) -> Option<MonotonicTime> {
        match self.reason {
            EligibilityReason::Flapping(until) | EligibilityReason::Retained(until) => Some(until),
            _ => None,
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

    /// Marks the instance as unlisted before a response is applied.
    pub(super) fn mark_unlisted(&mut self) {
        self.listed = false;
    }

    /// Applies the instance's entry in the response, which also ends a retention.
    pub(super) fn apply_listed_instance(&mut self, instance: Instance) {
        self.instance = instance;
        self.listed = true;
        self.retained_until = None;
    }

    pub(super) fn retain_until(&mut self, until: MonotonicTime) {
        self.retained_until = Some(until);
    }

    pub(super) fn cancel_retention(&mut self) {
        self.retained_until = None;
    }

    /// Records the time of the instance's deregistration, if the current response is the first that does not list the instance,
    /// and the instance is not retained.
    pub(super) fn record_departure(&mut self, now: MonotonicTime) {
        let has_left_before = self.reason == EligibilityReason::Deregistered;
        if !self.listed && self.retained_until.is_none() && !has_left_before {
            self.left_at = now;
        }
    }

    /// Updates the start of the healthy period for flap damping.
    pub(super) fn update_health(&mut self, now: MonotonicTime, config: &StabilityConfig) {
        let is_health_sufficient = self.instance.health <= config.minimum_health;
        let is_healthy = self.listed && is_health_sufficient && self.instance.weight > 0.0;
        self.flap_damping.update_health(now, is_healthy);
    }

    /// Decides whether the instance is eligible now. With `is_address_taken`, another eligible instance has the same address.
    pub(super) fn decide(
        &self,
        now: MonotonicTime,
        config: &StabilityConfig,
        is_address_taken: bool,
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
        let suppressed_until = self.flap_damping.suppressed_until(now, config);
        if !self.eligible && now < suppressed_until {
            EligibilityReason::Flapping(suppressed_until)
        } else if is_address_taken {
            EligibilityReason::DuplicateAddress
        } else {
            EligibilityReason::Listed
        }
    }

    /// Applies a decision, and returns whether the change is to be logged. If the instance becomes eligible, its time of becoming
    /// eligible is set to `eligible_since`.
    pub(super) fn apply(
        &mut self,
        now: MonotonicTime,
        config: &StabilityConfig,
        reason: EligibilityReason,
        eligible_since: Option<MonotonicTime>,
    ) -> bool {
        let eligible = reason.is_eligible();
        let eligibility_changed = eligible != self.eligible;
        if eligibility_changed && eligible {
            self.eligible_since = eligible_since;
        } else if eligibility_changed {
            self.flap_damping.count_flap(now, config);
        }
        let was_down =
            matches!(self.reason, EligibilityReason::Unhealthy(_) | EligibilityReason::Deregistered);
        let suppression_started = was_down && matches!(reason, EligibilityReason::Flapping(_));
        self.eligible = eligible;
        self.reason = reason;
        eligibility_changed || suppression_started
    }
}

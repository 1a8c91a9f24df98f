//! Replaces the settings of a running state machine. Quotas, estimates and open requests are kept.

use crate::event::{Event, ListKind};
use crate::settings::{Settings, SettingsError};
use crate::state_machine::Policy;

impl Policy {
    /// Replaces the settings. Classes and plans keep their numbers. Classes and plans that are missing in the
    /// new settings keep their previous settings, for requests in flight.
    ///
    /// # Errors
    ///
    /// Returns the error of [`Settings::validate`]; the state machine is unchanged then.
    pub fn update_settings(&mut self, mut settings: Settings) -> Result<(), SettingsError> {
        let unknown_plan = self.settings.plans.len() - 1;
        let known_plans = &self.settings.plans[..unknown_plan];
        settings.classes.extend(self.settings.classes.iter().skip(settings.classes.len()).cloned());
        settings.plans.extend(known_plans.iter().skip(settings.plans.len()).cloned());
        let fresh = Self::new(settings, 0, self.now)?;
        let new_unknown_plan = fresh.settings.plans.len() - 1;
        for quota in self.tenants.values_mut().filter(|quota| quota.plan == unknown_plan) {
            quota.plan = new_unknown_plan;
        }
        for request in self.requests.values_mut().filter(|request| request.plan == unknown_plan) {
            request.plan = new_unknown_plan;
        }
        self.class_stats.extend(fresh.class_stats.into_iter().skip(self.class_stats.len()));
        let classes = fresh.settings.classes.len();
        for backend in self.backends.iter_mut() {
            backend.health.resize_classes(classes, self.now);
        }
        self.settings = fresh.settings;
        self.max_weight = fresh.max_weight;
        self.reorder_backends();
        Ok(())
    }

    /// Recomputes the order of the backends from the current settings.
    pub(crate) fn reorder_backends(&mut self) {
        let event = Event::Endpoints { kind: ListKind::Delta, entries: Vec::new() };
        self.handle(self.now, event, &mut Vec::new());
    }
}

//! Checks the timing of a class against each rule.

use crate::{ClassTiming, TimingRule, TimingViolation};

impl ClassTiming {
    /// Checks all rules and returns every violation, so that all can be corrected at once; empty if the timing is valid.
    pub fn violations(&self) -> Vec<TimingViolation> {
        let mut violations = self.zero_values();
        violations.extend(self.objective_after_deadline());
        violations.extend(self.too_many_attempts());
        if let Some(attempt_timeout) = self.attempt_timeout_ms.filter(|&timeout| timeout > 0) {
            violations.extend(self.attempts_exceed_deadline(attempt_timeout));
            violations.extend(self.attempt_shorter_than_connect(attempt_timeout));
        }
        if let Some(hedge_after) = self.hedge_after_ms {
            violations.extend(self.hedge_of_non_idempotent());
            violations.extend(self.hedge_too_late(hedge_after));
            violations.extend(self.hedge_never_sent(hedge_after));
            violations.extend(self.hedge_without_attempt());
        }
        violations
    }

    fn violation(&self, rule: TimingRule, problem: String, remedy: String) -> TimingViolation {
        TimingViolation { class: self.class.clone(), rule, problem, remedy }
    }

    fn zero_values(&self) -> Vec<TimingViolation> {
        let configured = [
            ("wanted_ms", Some(self.latency_objective_ms)),
            ("deadline_ms", Some(self.deadline_ms)),
            ("attempts", self.max_attempts.map(u64::from)),
            ("attempt_ms", self.attempt_timeout_ms),
            ("copy_after_ms", self.hedge_after_ms),
        ];
        let zeros = configured.iter().filter(|(_, value)| *value == Some(0));
        let zero_value = |key: &str| {
            self.violation(TimingRule::ZeroValue, format!("{key} is 0"), "it must be above 0".into())
        };
        zeros.map(|(key, _)| zero_value(key)).collect()
    }

    fn objective_after_deadline(&self) -> Option<TimingViolation> {
        let (objective, deadline) = (self.latency_objective_ms, self.deadline_ms);
        (objective > deadline).then(|| {
            let problem = format!("an answer wanted within {objective} ms is given up after {deadline} ms");
            let remedy = format!("deadline_ms must be {objective} at least");
            self.violation(TimingRule::ObjectiveAfterDeadline, problem, remedy)
        })
    }

    fn too_many_attempts(&self) -> Option<TimingViolation> {
        let limit = self.attempt_limit;
        let attempts = self.max_attempts.filter(|&attempts| attempts > limit)?;
        let problem = format!("{attempts} attempts are more than limits.route_steps = {limit}");
        let remedy = format!("state {limit} at most, or raise the limit");
        Some(self.violation(TimingRule::TooManyAttempts, problem, remedy))
    }

    fn attempts_exceed_deadline(&self, attempt_timeout: u64) -> Option<TimingViolation> {
        let (attempts, deadline) = (self.effective_max_attempts(), self.deadline_ms);
        let worst_case = self.worst_case_ms(attempt_timeout);
        (worst_case > deadline).then(|| {
            let problem = format!(
                "{attempts} attempts of {attempt_timeout} ms take up to {worst_case} ms, and the client gives up after {deadline}"
            );
            let shorter = deadline / u64::from(attempts.max(1));
            let remedy = format!("state fewer attempts, or attempt_ms = {shorter}");
            self.violation(TimingRule::AttemptsExceedDeadline, problem, remedy)
        })
    }

    fn attempt_shorter_than_connect(&self, attempt_timeout: u64) -> Option<TimingViolation> {
        let connect_timeout = self.connect_timeout_ms;
        (attempt_timeout <= connect_timeout).then(|| {
            let problem = format!(
                "an attempt of {attempt_timeout} ms ends before a connection may be made ({connect_timeout} ms)"
            );
            let remedy = format!("attempt_ms must be above {connect_timeout}");
            self.violation(TimingRule::AttemptShorterThanConnect, problem, remedy)
        })
    }

    fn hedge_of_non_idempotent(&self) -> Option<TimingViolation> {
        (!self.idempotent).then(|| {
            let problem = "a second copy of a request that must not run twice".into();
            let remedy = "take copy_after_ms out, or state repeat = \"safe\"".into();
            self.violation(TimingRule::HedgeOfNonIdempotent, problem, remedy)
        })
    }

    fn hedge_too_late(&self, hedge_after: u64) -> Option<TimingViolation> {
        let objective = self.latency_objective_ms;
        (hedge_after >= objective).then(|| {
            let problem = format!(
                "a copy after {hedge_after} ms comes when the answer is no longer wanted ({objective} ms)"
            );
            let remedy = format!("copy_after_ms must be below {objective}");
            self.violation(TimingRule::HedgeTooLate, problem, remedy)
        })
    }

    fn hedge_never_sent(&self, hedge_after: u64) -> Option<TimingViolation> {
        let timeout = self.attempt_timeout_ms.filter(|&timeout| hedge_after >= timeout)?;
        let problem =
            format!("a copy after {hedge_after} ms never comes: the attempt is given up after {timeout} ms");
        let remedy = format!("copy_after_ms must be below {timeout}");
        Some(self.violation(TimingRule::HedgeNeverSent, problem, remedy))
    }

    fn hedge_without_attempt(&self) -> Option<TimingViolation> {
        (self.effective_max_attempts() < 2).then(|| {
            let problem = "a second copy is an attempt, and one is all there may be".into();
            let remedy = "state attempts = 2 at least".into();
            self.violation(TimingRule::HedgeWithoutAttempt, problem, remedy)
        })
    }
}

#[cfg(test)]
mod tests;

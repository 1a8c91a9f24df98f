//! Retry budget: admitted requests earn it, retries and hedged requests spend it, so that further attempts
//! stay a small part of all attempts when many fail.

use crate::event::Outcome;

/// Tokens that the budget holds at most.
const MAX_TOKENS: f64 = 10.0;
/// Tokens that an admitted request adds.
const EARNED_PER_REQUEST: f64 = 0.1;
/// Cost of a hedged request. A failed attempt has to be made again and costs one token. A slow attempt mostly
/// still answers, and its backend goes on working on it after it is cancelled.
const HEDGE_COST: f64 = 5.0;
/// Cost of a retry after an attempt that may have run.
const RETRY_COST: f64 = 1.0;

/// A token bucket of further attempts.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A budget that is half full.
    pub(crate) fn new() -> Self {
        Self { tokens: MAX_TOKENS / 2.0 }
    }

    /// A budget with the tokens of a snapshot; an empty one if they are no number.
    pub(crate) fn restore(tokens: f64) -> Self {
        Self { tokens: if tokens.is_finite() { tokens } else { 0.0 } }
    }

    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds what an admitted request earns.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + EARNED_PER_REQUEST).min(MAX_TOKENS);
    }

    /// The cost of a retry after an attempt with this outcome.
    pub(crate) fn retry_cost(outcome: Outcome) -> f64 {
        match outcome {
            // Each retry without a connection puts one more backend into connect backoff, which bounds the
            // retries. An attempt that this gatekeeper could not start cost no backend anything, and counts
            // against the request's limit of attempts.
            Outcome::ConnectFailed | Outcome::NotStarted => 0.0,
            // An attempt that never ran is cheap to retry. When all backends reject work, retries must not
            // multiply it.
            _ if outcome.never_ran() => EARNED_PER_REQUEST,
            _ => RETRY_COST,
        }
    }

    pub(crate) fn covers(&self, cost: f64) -> bool {
        self.tokens >= cost
    }

    pub(crate) fn spend(&mut self, cost: f64) {
        self.tokens -= cost;
    }

    pub(crate) fn covers_hedge(&self) -> bool {
        self.covers(HEDGE_COST)
    }

    pub(crate) fn spend_hedge(&mut self) {
        self.spend(HEDGE_COST);
    }
}

#[cfg(test)]
mod tests;

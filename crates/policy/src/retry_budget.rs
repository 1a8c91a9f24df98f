//! Retry budget: admitted requests earn tokens, and retries and hedged requests spend them, so that further
//! attempts stay a small fraction of all attempts when many fail.

use crate::event::Outcome;

/// Most tokens that the budget can hold.
const MAX_TOKENS: f64 = 10.0;
/// Tokens that an admitted request adds.
const EARNED_PER_REQUEST: f64 = 0.1;
/// Cost of a hedged request in tokens. A hedged request costs more than a retry: a failed attempt has to be
/// repeated, but a slow attempt usually still answers, and its backend goes on working on the attempt even
/// after the attempt is cancelled.
const HEDGE_COST: f64 = 5.0;
/// Cost in tokens of a retry after an attempt that may have run.
const RETRY_COST: f64 = 1.0;

/// A token bucket that limits retries and hedged requests.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget that is half full.
    pub(crate) fn new() -> Self {
        Self { tokens: MAX_TOKENS / 2.0 }
    }

    /// Creates a budget with the tokens from a snapshot; empty if the number of tokens is not finite.
    pub(crate) fn restore(tokens: f64) -> Self {
        Self { tokens: if tokens.is_finite() { tokens } else { 0.0 } }
    }

    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds the tokens that an admitted request earns.
    pub(crate) fn earn_tokens(&mut self) {
        self.tokens = (self.tokens + EARNED_PER_REQUEST).min(MAX_TOKENS);
    }

    /// The cost of a retry after an attempt with this outcome.
    pub(crate) fn retry_cost(outcome: Outcome) -> f64 {
        match outcome {
            // Each retry that gets no connection puts one more backend into connect backoff, which bounds
            // such retries. An attempt that this gatekeeper could not start cost the backends nothing, and
            // counts towards the request's limit of attempts.
            Outcome::ConnectFailed | Outcome::NotStarted => 0.0,
            // An attempt that never ran is cheap to retry, but not free: when all backends reject requests,
            // retries must not multiply the load.
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

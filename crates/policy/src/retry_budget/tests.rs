//! Tests of `RetryBudget` without the state machine.

use super::*;

#[test]
fn a_full_budget_covers_two_hedged_requests() {
    let mut budget = RetryBudget::new();
    (0..1_000).for_each(|_| budget.earn_tokens());
    for _ in 0..2 {
        assert!(budget.covers_hedge());
        budget.spend_hedge();
    }
    assert!(!budget.covers_hedge());
}

#[test]
fn ten_admitted_requests_earn_one_retry_of_an_attempt_that_may_have_run() {
    let mut budget = RetryBudget::restore(0.0);
    let cost = RetryBudget::retry_cost(Outcome::Reset);
    (0..9).for_each(|_| budget.earn_tokens());
    assert!(!budget.covers(cost));
    (0..2).for_each(|_| budget.earn_tokens());
    assert!(budget.covers(cost));
}

#[test]
fn a_retry_without_a_connection_is_free_and_one_after_a_rejection_costs_what_a_request_earns() {
    assert_eq!(RetryBudget::retry_cost(Outcome::ConnectFailed), 0.0);
    assert_eq!(RetryBudget::retry_cost(Outcome::NotStarted), 0.0);
    assert_eq!(RetryBudget::retry_cost(Outcome::Rejected), 0.1);
    assert_eq!(RetryBudget::retry_cost(Outcome::Error), 1.0);
}

#[test]
fn a_snapshot_without_a_finite_number_of_tokens_restores_an_empty_budget() {
    assert_eq!(RetryBudget::restore(f64::NAN).tokens(), 0.0);
    assert_eq!(RetryBudget::restore(3.5).tokens(), 3.5);
}

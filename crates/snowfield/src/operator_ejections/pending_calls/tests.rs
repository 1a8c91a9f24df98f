//! Tests of the ways in which a call ends: completed, timed out, or cancelled.

use super::*;
use std::sync::mpsc::TryRecvError;

#[test]
fn a_reply_completes_the_call_with_its_number() {
    let mut calls = PendingCalls::default();
    let (first, second) = (calls.start(), calls.start());
    assert_ne!(first.call, second.call);
    calls.complete(second.call, true);
    assert_eq!(second.reply.try_recv(), Ok(true));
    assert_eq!(first.reply.try_recv(), Err(TryRecvError::Empty));
}

#[test]
fn a_reply_to_a_call_that_timed_out_is_ignored() {
    let mut calls = PendingCalls::default();
    let timed_out = calls.start();
    calls.cancel(timed_out.call);
    calls.complete(timed_out.call, true);
    assert_eq!(timed_out.reply.try_recv(), Err(TryRecvError::Disconnected));
}

#[test]
fn all_calls_fail_at_once_when_the_other_process_has_ended() {
    let mut calls = PendingCalls::default();
    let call = calls.start();
    calls.cancel_all();
    assert_eq!(call.reply.try_recv(), Err(TryRecvError::Disconnected));
}

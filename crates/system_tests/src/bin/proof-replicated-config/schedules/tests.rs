//! The schedules are the same in every version, so that a failure comes back by its seed.

use super::*;
use fault_harness::digest::digest;

fn digest_of(schedules: impl Iterator<Item = Schedule>) -> u64 {
    digest(&schedules.map(|schedule| schedule.to_toml()).collect::<String>())
}

#[test]
fn hard_cases_are_those_that_they_always_were() {
    assert_eq!(digest_of(named_schedules().into_iter()), 0xc0a7_29bc_3e45_3169);
}

#[test]
fn a_seed_gives_the_schedule_that_it_always_gave() {
    assert_eq!(digest_of((0..1_000).map(generated_schedule)), 0xfa67_559b_fb0d_ac11);
}

//! Digests of the schedules. The schedules must not change between versions, so that a failure can be reproduced from its name or
//! seed.

use super::*;
use fault_harness::digest::digest;

fn digest_of(schedules: impl Iterator<Item = Schedule>) -> u64 {
    digest(&schedules.map(|schedule| schedule.to_toml()).collect::<String>())
}

#[test]
fn named_schedules_are_unchanged() {
    assert_eq!(digest_of(named_schedules().into_iter()), 0xc0a7_29bc_3e45_3169);
}

#[test]
fn schedules_generated_from_seeds_are_unchanged() {
    assert_eq!(digest_of((0..1_000).map(generated_schedule)), 0xfa67_559b_fb0d_ac11);
}

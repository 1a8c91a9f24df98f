//! The schedules are the same in every version, so that a failure comes back by its seed.

use super::*;

/// FNV-1a with 64 bits.
fn digest(schedules: impl Iterator<Item = Schedule>) -> u64 {
    let text: String = schedules.map(|schedule| schedule.to_toml()).collect();
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

#[test]
fn hard_cases_are_those_that_they_always_were() {
    assert_eq!(digest(named_schedules().into_iter()), 0xc0a7_29bc_3e45_3169);
}

#[test]
fn a_seed_gives_the_schedule_that_it_always_gave() {
    assert_eq!(digest((0..1_000).map(generated_schedule)), 0xfa67_559b_fb0d_ac11);
}

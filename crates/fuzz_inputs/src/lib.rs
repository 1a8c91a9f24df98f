//! Random cuts of valid messages and random garbage, from fixed seeds, for the tests of parsers.
//!
//! A parser under test is a closure that is fed pieces in order and returns all that it made of them.

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::fmt::Debug;

const CASES: u32 = 256;

fn run<S: Strategy>(cases: &S, test: impl Fn(S::Value)) {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[42; 32]);
    let done = TestRunner::new_with_rng(config, rng).run(cases, |case| {
        test(case);
        Ok(())
    });
    done.unwrap_or_else(|failure| panic!("{failure}"));
}

fn pieces<'a>(bytes: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut at: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).chain([0, bytes.len()]).collect();
    at.sort_unstable();
    at.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).collect()
}

/// The parser makes the same of these bytes however they are cut.
///
/// # Panics
///
/// Panics where it does not.
pub fn same_however_cut<R: PartialEq + Debug>(bytes: &[u8], parse: impl Fn(&[&[u8]]) -> R) {
    let whole = parse(&[bytes]);
    run(&vec(any::<usize>(), 0..8), |cuts| {
        assert_eq!(parse(&pieces(bytes, &cuts)), whole, "cut at {cuts:?}")
    });
    let single: Vec<&[u8]> = bytes.chunks(1).collect();
    assert_eq!(parse(&single), whole, "byte by byte");
}

/// The parser ends without a panic on random bytes and on these valid bytes with some of them changed.
///
/// # Panics
///
/// Panics where the parser does.
pub fn survives_garbage(valid: &[u8], parse: impl Fn(&[&[u8]])) {
    run(&vec(any::<u8>(), 0..256), |garbage| parse(&[&garbage]));
    run(&vec((any::<usize>(), any::<u8>()), 1..6), |changes| {
        let mut bytes = valid.to_vec();
        for (at, byte) in &changes {
            let at = at % bytes.len();
            bytes[at] = *byte;
        }
        let cuts: Vec<usize> = changes.iter().map(|(at, _)| at / 7).collect();
        parse(&pieces(&bytes, &cuts));
    });
}

//! Deterministic fuzz inputs for the tests of parsers, generated from a fixed seed: random splits of valid messages, and
//! malformed messages.
//!
//! A parser under test is a closure. It receives an input in pieces, in order, and returns everything that it parsed.

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::fmt::Debug;
use std::ops::Range;

/// Number of random inputs of each kind.
const CASES: u32 = 256;
/// The seed is fixed, so that each run tests the same inputs and a failure is reproducible.
const SEED: [u8; 32] = [42; 32];
/// Range of the number of positions at which a message is split.
const SPLITS: Range<usize> = 0..8;
/// Range of the length of a random input in bytes.
const GARBAGE_BYTES: Range<usize> = 0..256;
/// Range of the number of bytes that are replaced in a valid message.
const REPLACED_BYTES: Range<usize> = 1..6;
/// A message with replaced bytes is split at the drawn positions of the replacements, divided by this.
const SPLIT_DIVISOR: usize = 7;

/// Runs a test on [`CASES`] inputs that a strategy generates. Panics if the test fails.
fn for_each_input<S: Strategy>(inputs: &S, test: impl Fn(S::Value)) {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let result = TestRunner::new_with_rng(config, rng).run(inputs, |input| {
        test(input);
        Ok(())
    });
    result.unwrap_or_else(|failure| panic!("{failure}"));
}

/// Splits bytes at these positions, each taken modulo their length plus one.
fn split<'a>(bytes: &'a [u8], positions: &[usize]) -> Vec<&'a [u8]> {
    let offsets = positions.iter().map(|position| position % (bytes.len() + 1));
    let mut bounds: Vec<usize> = offsets.chain([0, bytes.len()]).collect();
    bounds.sort_unstable();
    bounds.windows(2).map(|bound| &bytes[bound[0]..bound[1]]).collect()
}

/// Asserts that the parser returns the same result for these bytes, regardless of how they are split.
///
/// # Panics
///
/// Panics if a split changes the result.
pub fn assert_same_result_for_any_split<R: PartialEq + Debug>(bytes: &[u8], parse: impl Fn(&[&[u8]]) -> R) {
    let unsplit = parse(&[bytes]);
    for_each_input(&vec(any::<usize>(), SPLITS), |positions| {
        assert_eq!(parse(&split(bytes, &positions)), unsplit, "split at {positions:?}");
    });
    let single_bytes: Vec<&[u8]> = bytes.chunks(1).collect();
    assert_eq!(parse(&single_bytes), unsplit, "byte by byte");
}

/// Asserts that the parser does not panic on random bytes, or on a valid input with some bytes replaced.
///
/// # Panics
///
/// Panics if the parser panics, or if `valid` is empty.
pub fn assert_no_panic_on_malformed_input(valid: &[u8], parse: impl Fn(&[&[u8]])) {
    for_each_input(&vec(any::<u8>(), GARBAGE_BYTES), |garbage| parse(&[&garbage]));
    for_each_input(&vec((any::<usize>(), any::<u8>()), REPLACED_BYTES), |replacements| {
        let mut bytes = valid.to_vec();
        for (position, byte) in &replacements {
            let position = position % bytes.len();
            bytes[position] = *byte;
        }
        let positions = replacements.iter().map(|(position, _)| position / SPLIT_DIVISOR);
        parse(&split(&bytes, &positions.collect::<Vec<usize>>()));
    });
}

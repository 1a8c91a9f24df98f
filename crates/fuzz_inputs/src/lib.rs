//! Random splits of valid messages and random garbage, from a fixed seed, for the tests of parsers.
//!
//! A parser under test is a closure that is fed pieces in order and returns all that it made of them.

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::fmt::Debug;
use std::ops::Range;

/// Random inputs of each kind.
const CASES: u32 = 256;
const SEED: [u8; 32] = [42; 32];
/// Places at which a message is split.
const SPLITS: Range<usize> = 0..8;
/// Bytes of random garbage.
const GARBAGE_BYTES: Range<usize> = 0..256;
/// Bytes of a valid message that are replaced.
const REPLACED_BYTES: Range<usize> = 1..6;
/// A message with replaced bytes is split at the places of these, divided by this.
const SPLIT_DIVISOR: usize = 7;

/// Runs a test on each input of a strategy.
fn for_each_input<S: Strategy>(inputs: &S, test: impl Fn(S::Value)) {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let result = TestRunner::new_with_rng(config, random).run(inputs, |input| {
        test(input);
        Ok(())
    });
    result.unwrap_or_else(|failure| panic!("{failure}"));
}

/// The pieces between these places, each taken modulo the length.
fn split<'a>(bytes: &'a [u8], places: &[usize]) -> Vec<&'a [u8]> {
    let within = places.iter().map(|place| place % (bytes.len() + 1));
    let mut bounds: Vec<usize> = within.chain([0, bytes.len()]).collect();
    bounds.sort_unstable();
    bounds.windows(2).map(|bound| &bytes[bound[0]..bound[1]]).collect()
}

/// Checks that the parser makes the same of these bytes however they are split.
///
/// # Panics
///
/// It does not.
pub fn parses_alike_however_split<R: PartialEq + Debug>(bytes: &[u8], parse: impl Fn(&[&[u8]]) -> R) {
    let unsplit = parse(&[bytes]);
    for_each_input(&vec(any::<usize>(), SPLITS), |places| {
        assert_eq!(parse(&split(bytes, &places)), unsplit, "split at {places:?}");
    });
    let single_bytes: Vec<&[u8]> = bytes.chunks(1).collect();
    assert_eq!(parse(&single_bytes), unsplit, "byte by byte");
}

/// Checks that the parser ends without a panic on random bytes, and on these valid bytes with some of them replaced.
///
/// # Panics
///
/// The parser does.
pub fn survives_garbage(valid: &[u8], parse: impl Fn(&[&[u8]])) {
    for_each_input(&vec(any::<u8>(), GARBAGE_BYTES), |garbage| parse(&[&garbage]));
    for_each_input(&vec((any::<usize>(), any::<u8>()), REPLACED_BYTES), |replacements| {
        let mut bytes = valid.to_vec();
        for (place, byte) in &replacements {
            let place = place % bytes.len();
            bytes[place] = *byte;
        }
        let places: Vec<usize> = replacements.iter().map(|(place, _)| place / SPLIT_DIVISOR).collect();
        parse(&split(&bytes, &places));
    });
}

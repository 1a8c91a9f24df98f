//! Checks that the inputs are the same in each run and version, so that failures are reproducible, and that faulty parsers are
//! found.

use fuzz_inputs::{assert_no_panic_on_malformed_input, assert_same_result_for_any_split};
use std::cell::RefCell;
use std::panic::catch_unwind;

const BYTES: &[u8] = b"a first line\r\nand a second, longer one\r\n";

const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Byte that is hashed after each piece, so that different splits have different digests.
const PIECE_END: u8 = 0xff;

/// A digest of all inputs of a test.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Digest {
    /// 64-bit FNV-1a hash of all pieces, with 0 as the initial value.
    hash: u64,
    inputs: usize,
}

impl Digest {
    fn add(&mut self, pieces: &[&[u8]]) {
        for piece in pieces {
            for byte in piece.iter().chain(&[PIECE_END]) {
                self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
            }
        }
        self.inputs += 1;
    }
}

#[test]
fn splits_are_the_same_in_each_run_and_version() {
    let digest = RefCell::new(Digest::default());
    assert_same_result_for_any_split(BYTES, |pieces| digest.borrow_mut().add(pieces));
    assert_eq!(digest.into_inner(), Digest { hash: 12_367_585_785_969_809_627, inputs: 258 });
}

#[test]
fn malformed_inputs_are_the_same_in_each_run_and_version() {
    let digest = RefCell::new(Digest::default());
    assert_no_panic_on_malformed_input(BYTES, |pieces| digest.borrow_mut().add(pieces));
    assert_eq!(digest.into_inner(), Digest { hash: 13_318_580_925_060_015_673, inputs: 512 });
}

#[test]
fn finds_a_parser_that_depends_on_the_split() {
    let count_pieces = |pieces: &[&[u8]]| pieces.len();
    assert!(catch_unwind(|| assert_same_result_for_any_split(BYTES, count_pieces)).is_err());
    assert_same_result_for_any_split(BYTES, |pieces| pieces.concat());
}

#[test]
fn finds_a_parser_that_panics_on_malformed_input() {
    let parse_ascii = |pieces: &[&[u8]]| assert!(pieces.concat().is_ascii());
    assert!(catch_unwind(|| assert_no_panic_on_malformed_input(BYTES, parse_ascii)).is_err());
}

//! The inputs are the same in each run and version, so that a failure comes back; and a parser that fails is found.

use fuzz_inputs::{parses_alike_however_split, survives_garbage};
use std::cell::RefCell;
use std::panic::catch_unwind;

const BYTES: &[u8] = b"a first line\r\nand a second, longer one\r\n";

/// FNV-1a with 64 bits over all pieces, with a mark between two.
#[derive(Default)]
struct Digest(RefCell<(u64, usize)>);

impl Digest {
    fn add(&self, pieces: &[&[u8]]) {
        let mut state = self.0.borrow_mut();
        for piece in pieces {
            for byte in piece.iter().chain(&[0xff]) {
                state.0 = (state.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
            }
        }
        state.1 += 1;
    }
}

#[test]
fn a_message_is_split_as_it_always_was() {
    let digest = Digest::default();
    parses_alike_however_split(BYTES, |pieces| digest.add(pieces));
    assert_eq!(digest.0.into_inner(), (12_367_585_785_969_809_627, 258));
}

#[test]
fn garbage_is_what_it_always_was() {
    let digest = Digest::default();
    survives_garbage(BYTES, |pieces| digest.add(pieces));
    assert_eq!(digest.0.into_inner(), (13_318_580_925_060_015_673, 512));
}

#[test]
fn a_parser_that_depends_on_the_split_fails() {
    let counts_pieces = || parses_alike_however_split(BYTES, |pieces| pieces.len());
    assert!(catch_unwind(counts_pieces).is_err());
    parses_alike_however_split(BYTES, |pieces| pieces.concat());
}

#[test]
fn a_parser_that_panics_on_garbage_fails() {
    let fails = |pieces: &[&[u8]]| assert!(pieces.concat().is_ascii());
    assert!(catch_unwind(|| survives_garbage(BYTES, fails)).is_err());
}

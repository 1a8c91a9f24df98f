//! Cut and random bytes against the reader of words.

use replicated_config::{Answer, Ask, Change, Stage, Version, Word};

#[test]
fn words_survive_their_bytes_and_garbage_is_none() {
    let version = Version { number: 3, by: "x".into(), text: "[[plan]]".into() };
    let words = [
        Word::Ask(Ask { who: "m1".into(), question: 7, leases: true, knew: 2, has: (1, 2) }),
        Word::Answer(
            Answer { question: 7, version: 3, stage: Stage::Proposed },
            Box::new((None, Some(version))),
        ),
        Word::Propose(Change { id: 9, by: "y".into(), expect: Some(2), text: "t".into() }),
        Word::Elsewhere(7, Some(2)),
        Word::Changed(4),
    ];
    for word in words {
        let bytes = word.bytes();
        assert_eq!(Word::read(&bytes), Some(word));
        // What is cut is none; what is only like one may be read, and is bounded by its own length.
        (0..bytes.len()).for_each(|n| assert_eq!(Word::read(&bytes[..n]), None));
        cuts::survives_garbage(&bytes, |pieces| drop(Word::read(&pieces.concat())));
    }
}

//! Reading of complete and incomplete journals.

use super::*;

fn admission(number: u32) -> Admission {
    Admission {
        tenant: u64::from(number),
        plan: number % 3,
        tenant_gatekeepers: 2.0,
        units: f64::from(number),
    }
}

#[test]
fn entries_are_read_after_their_writer_has_ended() {
    let (journal, reader) = AdmissionJournal::open().expect("a pair");
    (0..20).for_each(|number| journal.append(&admission(number)));
    drop(journal);
    let mut read = Vec::new();
    let end = read_journal(reader, |entry| read.push(entry));
    assert_eq!(end, JournalEnd::Complete);
    assert_eq!(read, (0..20).map(admission).collect::<Vec<_>>());
}

#[test]
fn a_reader_that_falls_behind_reports_an_incomplete_journal() {
    let (journal, reader) = AdmissionJournal::open().expect("a pair");
    (0..100_000).for_each(|number| journal.append(&admission(number)));
    drop(journal);
    let mut count = 0;
    assert_eq!(read_journal(reader, |_| count += 1), JournalEnd::Incomplete);
    assert!(count < 100_000, "the buffer of the socket must be too small for all entries");
}

#[test]
fn invalid_and_partial_entries_make_a_journal_incomplete() {
    for bytes in [&[0xff; ENTRY_BYTES][..], &[0; ENTRY_BYTES / 2][..]] {
        let (journal, reader) = AdmissionJournal::open().expect("a pair");
        (&journal.0).write_all(bytes).expect("the socket accepts the bytes");
        drop(journal);
        assert_eq!(read_journal(reader, |_| ()), JournalEnd::Incomplete);
    }
}

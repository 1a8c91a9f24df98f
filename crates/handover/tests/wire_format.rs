//! Compatibility of the wire format of a hot restart: later versions read what version 0.1.0 wrote, and write the same bytes.

mod common;

use common::SocketDirectory;
use handover::{
    Admission, AdmissionJournal, BackendNumber, JournalEnd, Message, PROTOCOL_VERSION, Peer, UpgradeSocket,
    read_journal,
};
use std::io::{Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};

fn backend(number: u32, id: &str) -> BackendNumber {
    BackendNumber { number, id: id.into() }
}

/// Each message, and its frame as version 0.1.0 sent it.
fn messages() -> Vec<(&'static str, &'static [u8], Message)> {
    vec![
        ("hello", include_bytes!("fixtures/hello.frame"), Message::Hello { version: PROTOCOL_VERSION }),
        ("take", include_bytes!("fixtures/take.frame"), Message::RequestState),
        (
            "state",
            include_bytes!("fixtures/state.frame"),
            Message::State {
                policy_snapshot: (0..=255).collect(),
                backends: vec![backend(1, "s-5be2a07c"), backend(300, "s-1"), backend(u32::MAX, "")],
                plans: vec!["basic".into(), "standard".into()],
                classes: vec!["lookup".into(), "lookup-r2".into(), "lookup".into()],
                ejected: vec!["s-1".into()],
            },
        ),
        (
            "client",
            include_bytes!("fixtures/client.frame"),
            Message::ClientConnection { partial_request: b"*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000".to_vec() },
        ),
        (
            "hold",
            include_bytes!("fixtures/hold.frame"),
            Message::SetEjected {
                call: 1 << 40,
                id: "s-5be2a07c".into(),
                ejected: true,
                known_to_sender: false,
            },
        ),
        (
            "held",
            include_bytes!("fixtures/held.frame"),
            Message::EjectionApplied { call: 1 << 40, applied: true },
        ),
    ]
}

/// The frame that this version sends for a message.
fn frame_of(message: &Message) -> Vec<u8> {
    let directory = SocketDirectory::new("sent");
    let listener = UnixListener::bind(UpgradeSocket::path(directory.path())).expect("a socket");
    let peer = Peer::connect(directory.path()).expect("the upgrade socket listens");
    peer.send(message, None).expect("the message is sent");
    peer.close();
    let mut frame = Vec::new();
    let (mut receiver, _) = listener.accept().expect("a connection");
    receiver.read_to_end(&mut frame).expect("a frame");
    frame
}

#[test]
fn reads_each_message_of_version_0_1_0() {
    let directory = SocketDirectory::new("reads");
    for (name, frame, message) in messages() {
        assert_eq!(directory.messages_from(frame), [message], "{name}");
    }
}

#[test]
fn sends_each_message_as_version_0_1_0_did() {
    for (name, frame, message) in messages() {
        assert_eq!(frame_of(&message), frame, "{name}");
    }
}

#[test]
fn rejects_a_truncated_message_of_version_0_1_0() {
    let directory = SocketDirectory::new("truncated");
    for (name, frame, _) in messages() {
        for length in 0..frame.len() {
            assert!(
                directory.messages_from(&frame[..length]).is_empty(),
                "{name} truncated to {length} bytes"
            );
        }
    }
}

#[test]
fn a_damaged_message_of_version_0_1_0_is_never_read_as_the_original() {
    let directory = SocketDirectory::new("damaged");
    for (_, frame, message) in messages() {
        for position in 0..frame.len() {
            let mut damaged = frame.to_vec();
            damaged[position] ^= 0xff;
            // A changed byte of a text or a number may yield another valid message, but not the original.
            assert_ne!(directory.messages_from(&damaged).first(), Some(&message), "damaged byte {position}");
        }
    }
}

/// The [`entries`] as version 0.1.0 wrote them.
const JOURNAL: &[u8] = include_bytes!("fixtures/admissions.journal");

fn entries() -> Vec<Admission> {
    let entry =
        |tenant, plan, tenant_gatekeepers, units| Admission { tenant, plan, tenant_gatekeepers, units };
    vec![entry(7, 0, 1.0, 1.0), entry(u64::MAX, 3, 12.0, 0.25), entry(0x1234_5678_9abc_def0, 1, 2.5, 4.0)]
}

#[test]
fn writes_the_admission_journal_as_version_0_1_0_did() {
    let (journal, reader) = AdmissionJournal::open().expect("a pair");
    entries().iter().for_each(|entry| journal.append(entry));
    drop(journal);
    let mut bytes = Vec::new();
    UnixStream::from(reader).read_to_end(&mut bytes).expect("a journal");
    assert_eq!(bytes, JOURNAL);
}

/// Reads these bytes as a journal.
fn read_entries(bytes: &[u8]) -> (Vec<Admission>, JournalEnd) {
    let (mut writer, reader) = UnixStream::pair().expect("a pair");
    writer.write_all(bytes).expect("the socket accepts the bytes");
    drop(writer);
    let mut entries = Vec::new();
    let end = read_journal(reader.into(), |entry| entries.push(entry));
    (entries, end)
}

#[test]
fn reads_the_admission_journal_of_version_0_1_0() {
    assert_eq!(read_entries(JOURNAL), (entries(), JournalEnd::Complete));
}

#[test]
fn a_truncated_or_damaged_admission_journal_is_known_to_be_incomplete() {
    let entry_bytes = JOURNAL.len() / entries().len();
    for length in (0..JOURNAL.len()).filter(|length| length % entry_bytes != 0) {
        let complete = length / entry_bytes;
        assert_eq!(
            read_entries(&JOURNAL[..length]),
            (entries()[..complete].to_vec(), JournalEnd::Incomplete),
            "truncated to {length} bytes"
        );
    }
    // A number of gatekeepers below 1 is out of range.
    let mut damaged = JOURNAL.to_vec();
    damaged[12..20].copy_from_slice(&0.5f64.to_le_bytes());
    assert_eq!(read_entries(&damaged), (entries()[1..].to_vec(), JournalEnd::Incomplete));
}

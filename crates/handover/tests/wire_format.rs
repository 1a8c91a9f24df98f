//! What two programs exchange during a hot restart, as version 0.1.0 sent it: later versions read it, and send the same bytes.

use handover::{
    Admission, AdmissionJournal, BackendNumber, JournalEnd, Message, PROTOCOL_VERSION, Peer, UpgradeSocket,
    read_journal,
};
use std::io::{Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::time::Duration;

const LONG: Option<Duration> = Some(Duration::from_secs(20));

/// A folder for the sockets of one test, removed at its end.
struct Folder(PathBuf);

impl Folder {
    fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("snowfield-wire-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

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
            Message::SetEjected { call: 1 << 40, id: "s-5be2a07c".into(), ejected: true, known: false },
        ),
        (
            "held",
            include_bytes!("fixtures/held.frame"),
            Message::EjectionApplied { call: 1 << 40, applied: true },
        ),
    ]
}

/// The frame that this version sends.
fn sent(message: &Message) -> Vec<u8> {
    let folder = Folder::new("sent");
    let listener = UnixListener::bind(UpgradeSocket::path(&folder.0)).expect("a socket");
    let peer = Peer::connect(&folder.0).expect("it listens");
    peer.send(message, None).expect("it goes");
    peer.close();
    let mut frame = Vec::new();
    listener.accept().expect("a caller").0.read_to_end(&mut frame).expect("it comes");
    frame
}

/// What this version makes of these bytes.
fn received(folder: &Folder, bytes: &[u8]) -> Vec<Message> {
    let socket = UpgradeSocket::bind(&folder.0).expect("a place");
    let mut caller = UnixStream::connect(UpgradeSocket::path(&folder.0)).expect("it listens");
    let peer = socket.accept().expect("a caller");
    caller.write_all(bytes).expect("it takes them");
    drop(caller);
    std::iter::from_fn(|| peer.receive(LONG).ok()).map(|(message, _)| message).collect()
}

#[test]
fn reads_each_message_of_version_0_1_0() {
    let folder = Folder::new("reads");
    for (name, frame, message) in messages() {
        assert_eq!(received(&folder, frame), [message], "{name}");
    }
}

#[test]
fn sends_each_message_as_version_0_1_0_did() {
    for (name, frame, message) in messages() {
        assert_eq!(sent(&message), frame, "{name}");
    }
}

#[test]
fn a_truncated_message_of_version_0_1_0_is_no_message() {
    let folder = Folder::new("cut");
    for (name, frame, _) in messages() {
        for length in 0..frame.len() {
            assert!(received(&folder, &frame[..length]).is_empty(), "{name} truncated to {length} bytes");
        }
    }
}

#[test]
fn a_damaged_message_of_version_0_1_0_is_read_without_a_panic() {
    let folder = Folder::new("damaged");
    for (_, frame, message) in messages() {
        for at in 0..frame.len() {
            let mut damaged = frame.to_vec();
            damaged[at] ^= 0xff;
            // Some bytes are part of a text or a number: then it is another message.
            assert_ne!(received(&folder, &damaged).first(), Some(&message), "byte {at}");
        }
    }
}

/// The journal of version 0.1.0: these entries.
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
    UnixStream::from(reader).read_to_end(&mut bytes).expect("it comes");
    assert_eq!(bytes, JOURNAL);
}

/// What this version reads of a journal, and whether it counts as complete.
fn read(bytes: &[u8]) -> (Vec<Admission>, JournalEnd) {
    let (mut writer, reader) = UnixStream::pair().expect("a pair");
    writer.write_all(bytes).expect("there is room");
    drop(writer);
    let mut entries = Vec::new();
    let end = read_journal(reader.into(), |entry| entries.push(entry));
    (entries, end)
}

#[test]
fn reads_the_admission_journal_of_version_0_1_0() {
    assert_eq!(read(JOURNAL), (entries(), JournalEnd::Complete));
}

#[test]
fn a_truncated_or_damaged_admission_journal_is_known_to_be_incomplete() {
    let size = JOURNAL.len() / entries().len();
    for length in (0..JOURNAL.len()).filter(|length| length % size != 0) {
        let complete = length / size;
        assert_eq!(
            read(&JOURNAL[..length]),
            (entries()[..complete].to_vec(), JournalEnd::Incomplete),
            "{length} bytes"
        );
    }
    // A number of gatekeepers below 1 makes no sense.
    let mut damaged = JOURNAL.to_vec();
    damaged[12..20].copy_from_slice(&0.5f64.to_le_bytes());
    assert_eq!(read(&damaged), (entries()[1..].to_vec(), JournalEnd::Incomplete));
}

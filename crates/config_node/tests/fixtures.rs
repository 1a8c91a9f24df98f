//! The log of a replica, and messages on a connection: the bytes in `fixtures/` were written by release 0.1 at commit 1461877.
//! They are read, also where they are cut or damaged, and written byte for byte alike.

use config_node::replica_log::Disk;
use config_node::{Ask, Change, Outcome, Word};
use membership::seal::Keys;
use replicated_config::{Base, Kept, Line, Record};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Bytes of the file that says how many frames of the log count.
const COUNT_BYTES: usize = 8 + 20 + 8;
/// Bytes of the log without a frame.
const EMPTY_LOG_BYTES: usize = 8;
/// Longer than anything here may take.
const LONG: Duration = Duration::from_secs(20);

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("quorum-fixture-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }
    fn log(&self) -> PathBuf {
        self.0.join("replica.log")
    }
    fn count(&self) -> PathBuf {
        self.0.join("replica.count")
    }
    fn write(&self, log: &[u8], count: &[u8]) {
        std::fs::write(self.log(), log).expect("it is written");
        std::fs::write(self.count(), count).expect("it is written");
    }
    fn read(&self) -> (Vec<u8>, Vec<u8>) {
        (std::fs::read(self.log()).expect("a log"), std::fs::read(self.count()).expect("a count"))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn fixture(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    std::fs::read(path).expect("the fixture is there")
}

fn entries(range: std::ops::RangeInclusive<u64>, term: u64, bytes: usize) -> Record {
    Record::Lines(range.map(|index| Line { index, term, data: vec![7; bytes] }).collect())
}

/// What each frame of the log holds.
fn frames() -> Vec<Vec<Record>> {
    vec![
        vec![Record::Hard(1, 2, 0), entries(1..=9, 1, 3)],
        vec![entries(5..=6, 2, 3), Record::Hard(2, 0, 4)],
        vec![Record::Base(Base { index: 5, term: 2, state: vec![1, 2] })],
        vec![entries(7..=8, 2, 3)],
        vec![Record::Base(Base { index: 20, term: 3, state: vec![3] }), Record::Hard(3, 1, 20)],
        vec![entries(21..=22, 3, 30)],
    ]
}

/// The state after each number of frames.
fn states() -> Vec<Kept> {
    let mut states = vec![Kept::default()];
    for records in frames() {
        let mut state = states[states.len() - 1].clone();
        records.into_iter().for_each(|record| state.take(record).expect("records follow each other"));
        states.push(state);
    }
    states
}

#[test]
fn a_log_is_written_as_before() {
    let folder = Folder::new("written");
    Disk::begin(&folder.log()).expect("it is begun");
    let mut disk = Disk::open(&folder.log()).expect("it is whole");
    let mut counts = folder.read().1;
    for records in frames() {
        disk.write(records).expect("there is room");
        counts.extend(folder.read().1);
    }
    assert_eq!(folder.read().0, fixture("replica.log"));
    assert_eq!(counts, fixture("replica.counts"));
}

/// How long the log is after each number of frames, read from the frames' own lengths.
fn lengths(log: &[u8]) -> Vec<usize> {
    let mut lengths = vec![EMPTY_LOG_BYTES];
    while let Some(head) = log[lengths[lengths.len() - 1]..].first_chunk::<4>() {
        lengths.push(lengths[lengths.len() - 1] + 20 + u32::from_le_bytes(*head) as usize);
    }
    lengths
}

#[test]
fn a_log_is_read_also_where_it_is_cut_behind_what_counts() {
    let (log, counts, states) = (fixture("replica.log"), fixture("replica.counts"), states());
    let (lengths, folder) = (lengths(&log), Folder::new("cut"));
    assert_eq!((lengths.len(), lengths.last()), (states.len(), Some(&log.len())));
    for (counted, count) in counts.chunks(COUNT_BYTES).enumerate() {
        for cut in 0..=log.len() {
            folder.write(&log[..cut], count);
            let there = lengths.iter().rposition(|length| *length <= cut);
            let opened = Disk::open(&folder.log());
            match there.filter(|frames| *frames >= counted) {
                Some(frames) => {
                    assert_eq!(opened.expect("all that counts is there").kept(), &states[frames]);
                    // What was being written is cut off.
                    assert_eq!(folder.read().0, &log[..lengths[frames]]);
                }
                None => assert!(opened.is_err(), "{cut} bytes, {counted} frames"),
            }
        }
    }
}

#[test]
fn a_damaged_log_is_refused() {
    let (log, counts, folder) = (fixture("replica.log"), fixture("replica.counts"), Folder::new("damaged"));
    let count = &counts[counts.len() - COUNT_BYTES..];
    for at in 0..log.len() {
        let mut altered = log.clone();
        altered[at] ^= 0x10;
        folder.write(&altered, count);
        assert!(Disk::open(&folder.log()).is_err(), "byte {at}");
    }
    for at in 0..count.len() {
        let mut altered = count.to_vec();
        altered[at] ^= 0x10;
        folder.write(&log, &altered);
        assert!(Disk::open(&folder.log()).is_err(), "byte {at} of the count");
        folder.write(&log, &count[..at]);
        assert!(Disk::open(&folder.log()).is_err(), "{at} bytes of the count");
    }
    folder.write(&log, count);
    assert_eq!(Disk::open(&folder.log()).expect("it is whole").kept(), &states()[6]);
}

/// The log is written anew once it is large: its length and hash at the end, and its count.
#[test]
fn a_large_log_is_written_anew_as_before() {
    let folder = Folder::new("large");
    Disk::begin(&folder.log()).expect("it is begun");
    let mut disk = Disk::open(&folder.log()).expect("it is whole");
    let mut lengths = String::new();
    for index in 1..=30 {
        let base = Record::Base(Base { index, term: 1, state: vec![1; 1_000] });
        disk.write(vec![entries(index..=index, 1, 200_000), Record::Hard(1, 3, index)])
            .expect("there is room");
        disk.write(vec![base]).expect("there is room");
        let (log, count) = folder.read();
        let hash = blake3::hash(&[&log[..], &count].concat()).to_hex();
        lengths += &format!("{index} {} {hash}\n", log.len());
    }
    assert_eq!(lengths, String::from_utf8(fixture("large.txt")).expect("text"));
}

fn keys() -> Keys {
    Keys::parse(&"ab".repeat(32)).expect("a key")
}

/// A request and its answer, as they are on a connection.
fn exchange() -> (Word, Word) {
    let request = Word::Propose(Change { id: 300, by: "staff".into(), expect: Some(2), text: "text".into() });
    (request, Word::Proposed(300, Outcome::Busy(3, "other".into())))
}

/// What a client sends, where it is answered with these bytes, and what it makes of them.
fn call(answer: Vec<u8>, request: &Word, sent: usize) -> (Vec<u8>, std::io::Result<Word>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || {
        let mut stream: TcpStream = listener.accept().expect("a connection").0;
        let mut bytes = vec![0; sent];
        stream.read_exact(&mut bytes).expect("a request");
        stream.write_all(&answer).expect("it is sent");
        bytes
    });
    let answered = config_node::call(address, &keys(), request, LONG, |_| true);
    (server.join().expect("it was served"), answered)
}

#[test]
fn messages_on_a_connection_are_as_before() {
    let (request, answer) = exchange();
    let (request_frame, answer_frame) = (fixture("request.frame"), fixture("answer.frame"));
    let (sent, answered) = call(answer_frame.clone(), &request, request_frame.len());
    assert_eq!(sent, request_frame);
    assert_eq!(answered.expect("it is answered"), answer);
    for at in 0..answer_frame.len() {
        let (_, cut) = call(answer_frame[..at].to_vec(), &request, request_frame.len());
        assert!(cut.is_err(), "{at} bytes");
        let mut altered = answer_frame.clone();
        altered[at] ^= 0x10;
        let (_, damaged) = call(altered, &request, request_frame.len());
        assert!(damaged.is_err(), "byte {at}");
    }
}

#[test]
fn who_has_another_key_is_not_understood() {
    let (request, _) = exchange();
    let other = Keys::parse(&"cd".repeat(32)).expect("a key");
    let ask = Ask { who: "m".into(), question: 1, leases: false, knew: 0, has: (0, 0) };
    let sealed = other.seal(&Word::Ask(ask).bytes());
    let frame = [&(sealed.len() as u32).to_le_bytes()[..], &sealed].concat();
    let (_, answered) = call(frame, &request, fixture("request.frame").len());
    assert!(answered.is_err());
}

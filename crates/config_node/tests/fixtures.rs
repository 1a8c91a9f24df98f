//! The log of a replica, and messages on a connection: the bytes in `fixtures/` were written by release 0.1 at commit 1461877.
//! They are read, also where they are cut or damaged, and written byte for byte alike.

use config_node::{
    ConfigVersion, Error, LeaseRequest, Message, Proposal, ProposalId, ProposalOutcome, ReplicaLog,
    RequestId, VersionNumbers,
};
use membership::authentication::Keyring;
use replicated_config::{DurableState, HardState, LogEntry, LogIndex, LogRecord, ReplicaId, Snapshot, Term};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Bytes of the file that counts the frames of the log.
const COUNT_BYTES: usize = 8 + 20 + 8;
/// Bytes of the log without a frame.
const EMPTY_LOG_BYTES: usize = 8;
/// Longer than anything here may take.
const TIMEOUT: Duration = Duration::from_secs(20);

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("config-node-fixture-{name}-{}", std::process::id()));
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

fn entries(range: std::ops::RangeInclusive<u64>, term: u64, bytes: usize) -> LogRecord {
    let entry = |index| LogEntry { index: LogIndex(index), term: Term(term), data: vec![7; bytes] };
    LogRecord::Entries(range.map(entry).collect())
}

fn hard_state(term: u64, vote: u64, commit: u64) -> LogRecord {
    let vote = (vote != 0).then_some(ReplicaId(vote));
    LogRecord::HardState(HardState { term: Term(term), vote, commit: LogIndex(commit) })
}

fn snapshot(index: u64, term: u64, state: Vec<u8>) -> LogRecord {
    LogRecord::Snapshot(Snapshot { index: LogIndex(index), term: Term(term), state })
}

/// What each frame of the log holds.
fn frames() -> Vec<Vec<LogRecord>> {
    vec![
        vec![hard_state(1, 2, 0), entries(1..=9, 1, 3)],
        vec![entries(5..=6, 2, 3), hard_state(2, 0, 4)],
        vec![snapshot(5, 2, vec![1, 2])],
        vec![entries(7..=8, 2, 3)],
        vec![snapshot(20, 3, vec![3]), hard_state(3, 1, 20)],
        vec![entries(21..=22, 3, 30)],
    ]
}

/// The state after each number of frames.
fn states() -> Vec<DurableState> {
    let mut states = vec![DurableState::default()];
    for records in frames() {
        let mut state = states[states.len() - 1].clone();
        records.into_iter().for_each(|record| state.apply(record).expect("records follow each other"));
        states.push(state);
    }
    states
}

#[test]
fn a_log_is_written_as_before() {
    let folder = Folder::new("written");
    ReplicaLog::create(&folder.log()).expect("it is created");
    let mut log = ReplicaLog::open(&folder.log()).expect("it is intact");
    let mut counts = folder.read().1;
    for records in frames() {
        log.append(records).expect("it is written");
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
            let intact = lengths.iter().rposition(|length| *length <= cut);
            let opened = ReplicaLog::open(&folder.log());
            match intact.filter(|frames| *frames >= counted) {
                Some(frames) => {
                    assert_eq!(opened.expect("all counted frames are there").state(), &states[frames]);
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
    for position in 0..log.len() {
        let mut altered = log.clone();
        altered[position] ^= 0x10;
        folder.write(&altered, count);
        assert!(ReplicaLog::open(&folder.log()).is_err(), "byte {position}");
    }
    for position in 0..count.len() {
        let mut altered = count.to_vec();
        altered[position] ^= 0x10;
        folder.write(&log, &altered);
        assert!(ReplicaLog::open(&folder.log()).is_err(), "byte {position} of the count");
        folder.write(&log, &count[..position]);
        assert!(ReplicaLog::open(&folder.log()).is_err(), "{position} bytes of the count");
    }
    folder.write(&log, count);
    assert_eq!(ReplicaLog::open(&folder.log()).expect("it is intact").state(), &states()[6]);
}

/// The log is compacted once it is large: its length after each write, and a hash of it with its count.
#[test]
fn a_large_log_is_compacted_as_before() {
    let folder = Folder::new("large");
    ReplicaLog::create(&folder.log()).expect("it is created");
    let mut log = ReplicaLog::open(&folder.log()).expect("it is intact");
    let mut lengths = String::new();
    for index in 1..=30 {
        log.append(vec![entries(index..=index, 1, 200_000), hard_state(1, 3, index)]).expect("it is written");
        log.append(vec![snapshot(index, 1, vec![1; 1_000])]).expect("it is written");
        let (content, count) = folder.read();
        let hash = blake3::hash(&[&content[..], &count].concat()).to_hex();
        lengths += &format!("{index} {} {hash}\n", content.len());
    }
    assert_eq!(lengths, String::from_utf8(fixture("large.txt")).expect("text"));
}

fn keys() -> Keyring {
    Keyring::parse(&"ab".repeat(32)).expect("a key")
}

/// A request and its answer, as they are on a connection.
fn exchange() -> (Message, Message) {
    let id = ProposalId(300);
    let request = Message::Propose(Proposal {
        id,
        proposed_by: "staff".into(),
        expected_version: Some(ConfigVersion(2)),
        text: "text".into(),
    });
    let outcome =
        ProposalOutcome::RolloutInProgress { version: ConfigVersion(3), proposed_by: "other".into() };
    (request, Message::ProposalOutcome { proposal: id, outcome })
}

/// What a client sends, where it is answered with these bytes, and what it makes of them.
fn call(answer: Vec<u8>, request: &Message, sent: usize) -> (Vec<u8>, Result<Message, Error>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || {
        let mut stream: TcpStream = listener.accept().expect("a connection").0;
        let mut bytes = vec![0; sent];
        stream.read_exact(&mut bytes).expect("a request");
        stream.write_all(&answer).expect("it is sent");
        bytes
    });
    let answered = config_node::call(address, &keys(), request, TIMEOUT, |_| true);
    (server.join().expect("it was served"), answered)
}

#[test]
fn messages_on_a_connection_are_as_before() {
    let (request, answer) = exchange();
    let (request_frame, answer_frame) = (fixture("request.frame"), fixture("answer.frame"));
    let (sent, answered) = call(answer_frame.clone(), &request, request_frame.len());
    assert_eq!(sent, request_frame);
    assert_eq!(answered.expect("it is answered"), answer);
    for position in 0..answer_frame.len() {
        let (_, cut) = call(answer_frame[..position].to_vec(), &request, request_frame.len());
        assert!(cut.is_err(), "{position} bytes");
        let mut altered = answer_frame.clone();
        altered[position] ^= 0x10;
        let (_, damaged) = call(altered, &request, request_frame.len());
        assert!(damaged.is_err(), "byte {position}");
    }
}

#[test]
fn a_message_authenticated_with_another_key_is_not_accepted() {
    let (request, _) = exchange();
    let other = Keyring::parse(&"cd".repeat(32)).expect("a key");
    let message = Message::LeaseRequest(LeaseRequest {
        client: "m".into(),
        id: RequestId(1),
        wants_lease: false,
        known_version: ConfigVersion::NONE,
        cached: VersionNumbers::default(),
    });
    let authenticated = other.sign(&message.encode());
    let frame = [&(authenticated.len() as u32).to_le_bytes()[..], &authenticated].concat();
    let (_, answered) = call(frame, &request, fixture("request.frame").len());
    assert!(matches!(answered, Err(Error::Unauthenticated)), "{answered:?}");
}

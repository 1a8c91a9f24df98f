//! Compatibility of replica logs and of messages on a connection with release 0.1. Commit 1461877 of that release wrote the bytes
//! in `fixtures/`. The current code must read them, write the same bytes, and reject them if they are truncated or damaged.

mod common;

use common::{TestDirectory, keys};
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

/// Size in bytes of the file that holds the frame count: the format identifier, a frame's header and the count.
const COUNT_BYTES: usize = 8 + 20 + 8;
/// Size in bytes of a log without frames, which holds only the format identifier.
const EMPTY_LOG_BYTES: usize = 8;
/// Timeout for each call, longer than any call takes.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A temporary directory for the two files of a log.
struct LogDirectory(TestDirectory);

impl LogDirectory {
    fn new(test: &str) -> Self {
        Self(TestDirectory::new(&format!("fixture-{test}")))
    }

    fn log_path(&self) -> PathBuf {
        self.0.path().join("replica.log")
    }

    fn frame_count_path(&self) -> PathBuf {
        self.0.path().join("replica.count")
    }

    fn write(&self, files: &LogFiles) {
        std::fs::write(self.log_path(), &files.log).expect("the log is written");
        std::fs::write(self.frame_count_path(), &files.frame_count).expect("the frame count is written");
    }

    fn read(&self) -> LogFiles {
        LogFiles {
            log: std::fs::read(self.log_path()).expect("the log exists"),
            frame_count: std::fs::read(self.frame_count_path()).expect("the frame count exists"),
        }
    }
}

/// The contents of the two files of a log.
struct LogFiles {
    log: Vec<u8>,
    frame_count: Vec<u8>,
}

fn fixture(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    std::fs::read(path).expect("the fixture exists")
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

/// Returns the records in each frame of the log fixture.
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

/// Returns the state after each number of frames, from none to all frames of the log fixture.
fn states() -> Vec<DurableState> {
    let mut states = vec![DurableState::default()];
    for records in frames() {
        let mut state = states[states.len() - 1].clone();
        records.into_iter().for_each(|record| state.apply(record).expect("records have no gap"));
        states.push(state);
    }
    states
}

#[test]
fn a_log_is_written_as_in_release_0_1() {
    let directory = LogDirectory::new("written");
    ReplicaLog::create(&directory.log_path()).expect("the log is created");
    let mut log = ReplicaLog::open(&directory.log_path()).expect("the log is intact");
    let mut counts = directory.read().frame_count;
    for records in frames() {
        log.append(records).expect("the records are written");
        counts.extend(directory.read().frame_count);
    }
    assert_eq!(directory.read().log, fixture("replica.log"));
    assert_eq!(counts, fixture("replica.counts"));
}

/// Returns the size in bytes of the log after each number of frames, according to the length fields of the frames.
fn log_sizes(log: &[u8]) -> Vec<usize> {
    let mut sizes = vec![EMPTY_LOG_BYTES];
    while let Some(length_field) = log[sizes[sizes.len() - 1]..].first_chunk::<4>() {
        sizes.push(sizes[sizes.len() - 1] + 20 + u32::from_le_bytes(*length_field) as usize);
    }
    sizes
}

#[test]
fn a_log_with_an_unfinished_frame_at_its_end_is_read() {
    let (log, counts, states) = (fixture("replica.log"), fixture("replica.counts"), states());
    let (sizes, directory) = (log_sizes(&log), LogDirectory::new("cut"));
    assert_eq!((sizes.len(), sizes.last()), (states.len(), Some(&log.len())));
    for (counted, count) in counts.chunks(COUNT_BYTES).enumerate() {
        for kept_bytes in 0..=log.len() {
            directory.write(&LogFiles { log: log[..kept_bytes].to_vec(), frame_count: count.to_vec() });
            let intact = sizes.iter().rposition(|length| *length <= kept_bytes);
            let opened = ReplicaLog::open(&directory.log_path());
            match intact.filter(|frames| *frames >= counted) {
                Some(frames) => {
                    assert_eq!(opened.expect("all counted frames are intact").state(), &states[frames]);
                    // The unfinished frame is discarded.
                    assert_eq!(directory.read().log, &log[..sizes[frames]]);
                }
                None => assert!(opened.is_err(), "{kept_bytes} bytes, {counted} frames"),
            }
        }
    }
}

#[test]
fn a_damaged_log_is_rejected() {
    let (log, counts, directory) =
        (fixture("replica.log"), fixture("replica.counts"), LogDirectory::new("damaged"));
    let count = &counts[counts.len() - COUNT_BYTES..];
    for position in 0..log.len() {
        let mut altered = log.clone();
        altered[position] ^= 0x10;
        directory.write(&LogFiles { log: altered, frame_count: count.to_vec() });
        assert!(ReplicaLog::open(&directory.log_path()).is_err(), "byte {position}");
    }
    for position in 0..count.len() {
        let mut altered = count.to_vec();
        altered[position] ^= 0x10;
        directory.write(&LogFiles { log: log.clone(), frame_count: altered });
        assert!(ReplicaLog::open(&directory.log_path()).is_err(), "byte {position} of the count");
        directory.write(&LogFiles { log: log.clone(), frame_count: count[..position].to_vec() });
        assert!(ReplicaLog::open(&directory.log_path()).is_err(), "{position} bytes of the count");
    }
    directory.write(&LogFiles { log, frame_count: count.to_vec() });
    assert_eq!(ReplicaLog::open(&directory.log_path()).expect("the log is intact").state(), &states()[6]);
}

/// Compares the size of the log, and a hash of the log and its frame count, after each pair of writes.
#[test]
fn a_large_log_is_compacted_as_in_release_0_1() {
    let directory = LogDirectory::new("large");
    ReplicaLog::create(&directory.log_path()).expect("the log is created");
    let mut log = ReplicaLog::open(&directory.log_path()).expect("the log is intact");
    let mut actual_lines = String::new();
    for index in 1..=30 {
        log.append(vec![entries(index..=index, 1, 200_000), hard_state(1, 3, index)])
            .expect("the records are written");
        log.append(vec![snapshot(index, 1, vec![1; 1_000])]).expect("the records are written");
        let LogFiles { log: content, frame_count } = directory.read();
        let hash = blake3::hash(&[&content[..], &frame_count].concat()).to_hex();
        actual_lines += &format!("{index} {} {hash}\n", content.len());
    }
    assert_eq!(actual_lines, String::from_utf8(fixture("large.txt")).expect("the fixture is UTF-8"));
}

/// A request and its answer.
struct Exchange {
    request: Message,
    answer: Message,
}

/// Returns a proposal and its answer: it is rejected because another version's rollout is in progress.
fn exchange() -> Exchange {
    let id = ProposalId(300);
    let request = Message::Propose(Proposal {
        id,
        proposed_by: "staff".into(),
        expected_version: Some(ConfigVersion(2)),
        text: "text".into(),
    });
    let outcome =
        ProposalOutcome::RolloutInProgress { version: ConfigVersion(3), proposed_by: "other".into() };
    Exchange { request, answer: Message::ProposalOutcome { proposal: id, outcome } }
}

/// A call as observed by the replica and by the client.
struct ObservedCall {
    /// The bytes that the replica received.
    received: Vec<u8>,
    /// The result that the client got.
    result: Result<Message, Error>,
}

/// Calls a replica that reads `request_bytes` bytes and then answers with `answer`.
fn call(answer: Vec<u8>, request: &Message, request_bytes: usize) -> ObservedCall {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let server = std::thread::spawn(move || {
        let mut stream: TcpStream = listener.accept().expect("the client connects").0;
        let mut bytes = vec![0; request_bytes];
        stream.read_exact(&mut bytes).expect("the request arrives");
        stream.write_all(&answer).expect("the answer is sent");
        bytes
    });
    let result = config_node::call_replica(address, &keys(), request, TIMEOUT, |_| true);
    ObservedCall { received: server.join().expect("the replica has answered"), result }
}

#[test]
fn messages_on_a_connection_are_encoded_as_in_release_0_1() {
    let Exchange { request, answer } = exchange();
    let (request_frame, answer_frame) = (fixture("request.frame"), fixture("answer.frame"));
    let observed = call(answer_frame.clone(), &request, request_frame.len());
    assert_eq!(observed.received, request_frame);
    assert_eq!(observed.result.expect("the request is answered"), answer);
    for position in 0..answer_frame.len() {
        let truncated = call(answer_frame[..position].to_vec(), &request, request_frame.len());
        assert!(truncated.result.is_err(), "{position} bytes");
        let mut altered = answer_frame.clone();
        altered[position] ^= 0x10;
        let damaged = call(altered, &request, request_frame.len());
        assert!(damaged.result.is_err(), "byte {position}");
    }
}

#[test]
fn a_message_authenticated_with_another_key_is_rejected() {
    let request = exchange().request;
    let other = Keyring::parse(&"cd".repeat(32)).expect("the key is valid");
    let message = Message::LeaseRequest(LeaseRequest {
        client: "m".into(),
        id: RequestId(1),
        wants_lease: false,
        known_version: ConfigVersion::NONE,
        cached: VersionNumbers::default(),
    });
    let authenticated = other.sign(&message.encode());
    let frame = [&(authenticated.len() as u32).to_le_bytes()[..], &authenticated].concat();
    let observed = call(frame, &request, fixture("request.frame").len());
    assert!(matches!(observed.result, Err(Error::Unauthenticated)), "{:?}", observed.result);
}

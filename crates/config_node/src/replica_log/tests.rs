use super::*;
use replicated_config::{HardState, LogEntry, LogIndex, ReplicaId, Snapshot, Term};

/// A directory that is removed with all its files at the end of a test.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new(name: &str) -> Self {
        Self(std::env::temp_dir().join(format!("config-node-{name}-{}", std::process::id())))
    }

    fn log_path(&self) -> PathBuf {
        self.0.join("replica.log")
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
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

/// The state of a log after a number of frames, and the size of its file at that time.
struct LoggedState {
    bytes: usize,
    state: DurableState,
}

#[test]
fn a_reopened_log_holds_all_records_that_were_appended() {
    let directory = TestDirectory::new("reopened");
    ReplicaLog::create(&directory.log_path()).expect("the log is created");
    assert!(
        matches!(ReplicaLog::create(&directory.log_path()), Err(Error::LogExists { .. })),
        "an existing log is not replaced"
    );
    let mut state = DurableState::default();
    let frames = [
        vec![hard_state(1, 2, 0), entries(1..=9, 1, 3)],
        vec![entries(5..=6, 2, 3), hard_state(2, 0, 4)],
        vec![snapshot(5, 2, vec![1, 2])],
        vec![entries(7..=8, 2, 3)],
        vec![snapshot(20, 3, vec![3]), hard_state(3, 1, 20)],
        vec![entries(21..=22, 3, 3)],
    ];
    for records in frames {
        let mut log = ReplicaLog::open(&directory.log_path()).expect("the log is intact");
        assert_eq!(log.state(), &state);
        log.append(records.clone()).expect("the file is written");
        records.into_iter().for_each(|record| state.apply(record).expect("records have no gap"));
    }
    assert_eq!(ReplicaLog::open(&directory.log_path()).expect("the log is intact").state(), &state);
}

#[test]
fn a_log_truncated_at_any_byte_is_rejected_or_holds_all_counted_frames() {
    let directory = TestDirectory::new("truncated");
    ReplicaLog::create(&directory.log_path()).expect("the log is created");
    let mut log = ReplicaLog::open(&directory.log_path()).expect("the log is intact");
    let length = || std::fs::read(directory.log_path()).expect("the file exists").len();
    let mut states = vec![LoggedState { bytes: length(), state: log.state().clone() }];
    for frame_number in 1..=4 {
        log.append(vec![
            hard_state(frame_number, 1, 0),
            entries(frame_number..=frame_number, frame_number, 5),
        ])
        .expect("the file is written");
        states.push(LoggedState { bytes: length(), state: log.state().clone() });
    }
    let content = std::fs::read(directory.log_path()).expect("the file exists");
    let count = std::fs::read(frame_count::path(&directory.log_path())).expect("the file exists");
    // The process was killed while it wrote the fourth frame, so three frames are counted.
    let count_of_three = frame_count::encode(3);
    for length in 0..=content.len() {
        for (count, frames) in [(&count, 4), (&count_of_three, 3)] {
            std::fs::write(directory.log_path(), &content[..length]).expect("the file is written");
            std::fs::write(frame_count::path(&directory.log_path()), count).expect("the file is written");
            let intact = states.iter().rposition(|logged| logged.bytes <= length);
            let opened = ReplicaLog::open(&directory.log_path());
            match intact.filter(|intact| *intact >= frames) {
                Some(n) => {
                    assert_eq!(opened.expect("all counted frames are intact").state(), &states[n].state)
                }
                None => assert!(opened.is_err(), "{length} bytes, {frames} frames"),
            }
        }
    }
    for position in 0..content.len() {
        let mut altered = content.clone();
        altered[position] ^= 0x10;
        std::fs::write(directory.log_path(), altered).expect("the file is written");
        std::fs::write(frame_count::path(&directory.log_path()), &count).expect("the file is written");
        assert!(ReplicaLog::open(&directory.log_path()).is_err(), "byte {position}");
    }
    std::fs::write(directory.log_path(), &content).expect("the file is written");
    for length in 0..count.len() {
        std::fs::write(frame_count::path(&directory.log_path()), &count[..length])
            .expect("the file is written");
        assert!(ReplicaLog::open(&directory.log_path()).is_err(), "count of {length} bytes");
    }
}

#[test]
fn compaction_bounds_the_size_of_a_log() {
    let directory = TestDirectory::new("large");
    ReplicaLog::create(&directory.log_path()).expect("the log is created");
    let mut log = ReplicaLog::open(&directory.log_path()).expect("the log is intact");
    for index in 1..=40 {
        log.append(vec![entries(index..=index, 1, 200_000)]).expect("the file is written");
        log.append(vec![snapshot(index, 1, vec![1; 1_000])]).expect("the file is written");
        assert!(
            std::fs::metadata(directory.log_path()).expect("the file exists").len()
                < COMPACTION_BYTES + 400_000
        );
    }
    assert_eq!(ReplicaLog::open(&directory.log_path()).expect("the log is intact").state(), log.state());
}

#[test]
fn each_error_on_damage_names_the_damaged_file() {
    let directory = TestDirectory::new("damage");
    let log = directory.log_path();
    let missing = ReplicaLog::open(&log);
    assert!(matches!(&missing, Err(Error::File { path, .. }) if *path == log), "{missing:?}");
    ReplicaLog::create(&log).expect("the log is created");
    ReplicaLog::open(&log)
        .and_then(|mut log| log.append(vec![hard_state(1, 2, 0)]))
        .expect("the file is written");
    let content = std::fs::read(&log).expect("the file exists");
    let count = std::fs::read(frame_count::path(&log)).expect("the file exists");
    std::fs::write(&log, &content[..content.len() - 1]).expect("the file is written");
    let truncated = ReplicaLog::open(&log);
    assert!(matches!(&truncated, Err(Error::MissingFrames { intact: 0, written: 1, .. })), "{truncated:?}");
    std::fs::write(&log, "another file").expect("the file is written");
    let other = ReplicaLog::open(&log);
    assert!(matches!(&other, Err(Error::UnknownLogFormat { path }) if *path == log), "{other:?}");
    let frames = [frame::encode(0, &[9]), frame::encode(0, &postcard_bytes(vec![entries(5..=5, 1, 1)]))];
    let opened = frames.map(|frame| {
        std::fs::write(&log, [&frame::FORMAT[..], &frame].concat()).expect("the file is written");
        ReplicaLog::open(&log).expect_err("the records are unusable")
    });
    assert!(matches!(&opened[0], Error::Records { path, .. } if *path == log), "{opened:?}");
    assert!(matches!(&opened[1], Error::UnusableLog { path, .. } if *path == log), "{opened:?}");
    std::fs::write(&log, &content).expect("the file is written");
    std::fs::write(frame_count::path(&log), &count[1..]).expect("the file is written");
    let count = ReplicaLog::open(&log);
    let damaged = |path: &PathBuf| *path == frame_count::path(&log);
    assert!(matches!(&count, Err(Error::DamagedFrameCount { path }) if damaged(path)), "{count:?}");
}

fn postcard_bytes(records: Vec<LogRecord>) -> Vec<u8> {
    postcard::to_stdvec(&records).expect("the records can be encoded")
}

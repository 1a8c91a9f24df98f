use super::*;
use replicated_config::{HardState, LogEntry, LogIndex, ReplicaId, Snapshot, Term};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        Self(std::env::temp_dir().join(format!("config-node-{name}-{}", std::process::id())))
    }
    fn log(&self) -> PathBuf {
        self.0.join("replica.log")
    }
}

impl Drop for Folder {
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

#[test]
fn records_are_read_again_after_any_sequence_of_writes() {
    let folder = Folder::new("again");
    ReplicaLog::create(&folder.log()).expect("it is created");
    assert!(matches!(ReplicaLog::create(&folder.log()), Err(Error::LogExists { .. })), "once");
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
        let mut log = ReplicaLog::open(&folder.log()).expect("it is intact");
        assert_eq!(log.state(), &state);
        log.append(records.clone()).expect("it is written");
        records.into_iter().for_each(|record| state.apply(record).expect("records follow each other"));
    }
    assert_eq!(ReplicaLog::open(&folder.log()).expect("it is intact").state(), &state);
}

#[test]
fn a_log_cut_at_any_byte_is_refused_or_holds_all_counted_frames() {
    let folder = Folder::new("cut");
    ReplicaLog::create(&folder.log()).expect("it is created");
    let mut log = ReplicaLog::open(&folder.log()).expect("it is intact");
    let length = || std::fs::read(folder.log()).expect("a file").len();
    let mut states = vec![(length(), log.state().clone())];
    for turn in 1..=4 {
        log.append(vec![hard_state(turn, 1, 0), entries(turn..=turn, turn, 5)]).expect("it is written");
        states.push((length(), log.state().clone()));
    }
    let content = std::fs::read(folder.log()).expect("a file");
    let count = std::fs::read(count_path(&folder.log())).expect("a file");
    // Killed while it wrote the fourth: three were counted.
    let three = encode_count(3);
    for length in 0..=content.len() {
        for (counted, frames) in [(&count, 4), (&three, 3)] {
            std::fs::write(folder.log(), &content[..length]).expect("it is written");
            std::fs::write(count_path(&folder.log()), counted).expect("it is written");
            let intact = states.iter().rposition(|state| state.0 <= length);
            let opened = ReplicaLog::open(&folder.log());
            match intact.filter(|intact| *intact >= frames) {
                Some(n) => assert_eq!(opened.expect("all counted frames are there").state(), &states[n].1),
                None => assert!(opened.is_err(), "{length} bytes, {frames} frames"),
            }
        }
    }
    for position in 0..content.len() {
        let mut altered = content.clone();
        altered[position] ^= 0x10;
        std::fs::write(folder.log(), altered).expect("it is written");
        std::fs::write(count_path(&folder.log()), &count).expect("it is written");
        assert!(ReplicaLog::open(&folder.log()).is_err(), "byte {position}");
    }
    std::fs::write(folder.log(), &content).expect("it is written");
    for length in 0..count.len() {
        std::fs::write(count_path(&folder.log()), &count[..length]).expect("it is written");
        assert!(ReplicaLog::open(&folder.log()).is_err(), "count of {length} bytes");
    }
}

#[test]
fn a_log_stays_bounded() {
    let folder = Folder::new("large");
    ReplicaLog::create(&folder.log()).expect("it is created");
    let mut log = ReplicaLog::open(&folder.log()).expect("it is intact");
    for index in 1..=40 {
        log.append(vec![entries(index..=index, 1, 200_000)]).expect("it is written");
        log.append(vec![snapshot(index, 1, vec![1; 1_000])]).expect("it is written");
        assert!(std::fs::metadata(folder.log()).expect("a file").len() < COMPACTION_BYTES + 400_000);
    }
    assert_eq!(ReplicaLog::open(&folder.log()).expect("it is intact").state(), log.state());
}

#[test]
fn each_damage_is_named_with_its_file() {
    let folder = Folder::new("damage");
    let log = folder.log();
    let missing = ReplicaLog::open(&log);
    assert!(matches!(&missing, Err(Error::File { path, .. }) if *path == log), "{missing:?}");
    ReplicaLog::create(&log).expect("it is created");
    ReplicaLog::open(&log).and_then(|mut log| log.append(vec![hard_state(1, 2, 0)])).expect("it is written");
    let content = std::fs::read(&log).expect("a file");
    let count = std::fs::read(count_path(&log)).expect("a file");
    std::fs::write(&log, &content[..content.len() - 1]).expect("it is written");
    let cut = ReplicaLog::open(&log);
    assert!(matches!(&cut, Err(Error::MissingFrames { found: 0, counted: 1, .. })), "{cut:?}");
    std::fs::write(&log, "another file").expect("it is written");
    let other = ReplicaLog::open(&log);
    assert!(matches!(&other, Err(Error::UnknownLogFormat { path }) if *path == log), "{other:?}");
    let frames = [frame::encode(0, &[9]), frame::encode(0, &postcard_bytes(vec![entries(5..=5, 1, 1)]))];
    let opened = frames.map(|frame| {
        std::fs::write(&log, [&frame::FORMAT[..], &frame].concat()).expect("it is written");
        ReplicaLog::open(&log).expect_err("its records cannot be used")
    });
    assert!(matches!(&opened[0], Error::Records { path, .. } if *path == log), "{opened:?}");
    assert!(matches!(&opened[1], Error::UnusableLog { path, .. } if *path == log), "{opened:?}");
    std::fs::write(&log, &content).expect("it is written");
    std::fs::write(count_path(&log), &count[1..]).expect("it is written");
    let count = ReplicaLog::open(&log);
    let damaged = |path: &PathBuf| *path == count_path(&log);
    assert!(matches!(&count, Err(Error::DamagedFrameCount { path }) if damaged(path)), "{count:?}");
}

fn postcard_bytes(records: Vec<LogRecord>) -> Vec<u8> {
    postcard::to_stdvec(&records).expect("they can be encoded")
}

//! Texts of errors.

use super::*;

#[test]
fn errors_name_the_schedule_or_the_file() {
    let cause = || fault_injection::Error::SuccessorNotReady;
    let text = "the new program of an upgrade is not ready";
    assert_eq!(Error::from(cause()).to_string(), text);
    let schedule = Error::Schedule { schedule: "upgrades".to_owned(), source: cause() };
    assert_eq!(schedule.to_string(), format!("upgrades: {text}"));
    let late = fault_injection::Error::FaultEndsLate { start_ms: 7 };
    let file = Error::ScheduleFile { path: PathBuf::from("a.toml"), source: late };
    assert_eq!(file.to_string(), "a.toml: a fault of 7 ms ends after length_ms");
    let missing = Error::file(Path::new("b.toml"))(io::Error::from(io::ErrorKind::NotFound));
    assert_eq!(missing.to_string(), "b.toml: entity not found");
}

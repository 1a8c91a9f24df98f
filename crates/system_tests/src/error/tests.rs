//! Texts of errors.

use super::*;

#[test]
fn errors_name_the_schedule_or_the_file() {
    let cause = || fault_injection::Error::SuccessorNotReady;
    let text = "the new program of an upgrade is not ready";
    assert_eq!(Error::from(cause()).to_string(), text);
    let schedule = Error::Schedule { schedule: "upgrades".to_owned(), source: cause() };
    assert_eq!(schedule.to_string(), format!("cannot run schedule upgrades: {text}"));
    let late = fault_injection::Error::FaultEndsLate { start_ms: 7 };
    let file = Error::ScheduleFile { path: PathBuf::from("a.toml"), source: late };
    assert_eq!(
        file.to_string(),
        "a.toml is not a valid schedule: the fault that begins at 7 ms ends after length_ms"
    );
    let missing = Error::file(Path::new("b.toml"))(io::Error::from(io::ErrorKind::NotFound));
    assert_eq!(missing.to_string(), "cannot read or write b.toml: entity not found");
}

//! The file as it is written, damaged, and as version 0.1.0 wrote it.

use super::*;

/// A directory for the file, removed at the end.
struct Directory(PathBuf);

impl Directory {
    fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("snowfield-ejections-{test}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a directory");
        Self(path)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The text of the error with which a file with these bytes is rejected.
fn rejection(directory: &Directory, bytes: &[u8]) -> String {
    fs::write(path(&directory.0), bytes).expect("it is written");
    read(&directory.0).expect_err("it cannot be used").to_string()
}

#[test]
fn reads_what_was_written_and_rejects_what_is_damaged() {
    let directory = Directory::new("damaged");
    assert_eq!(read(&directory.0).expect("no file yet"), Vec::<String>::new());
    write(&directory.0, ["s-1", "s-2"].into_iter()).expect("it is written");
    assert_eq!(read(&directory.0).expect("it can be read"), ["s-1", "s-2"]);
    let complete = fs::read(path(&directory.0)).expect("it is there");
    for cut in 0..complete.len() {
        rejection(&directory, &complete[..cut]);
    }
    for bad in [&b"snowfield held 2 0\n"[..], b"\xff\xfe\n", b"snowfield held 1 x\n"] {
        rejection(&directory, bad);
    }
}

#[test]
fn each_rejection_says_what_is_wrong() {
    let directory = Directory::new("texts");
    assert_eq!(rejection(&directory, b"snowfield held 1"), "it has no first line");
    assert_eq!(rejection(&directory, b"snowfield held 2 0\n"), "it is of another form");
    assert_eq!(rejection(&directory, b"snowfield held 1 2\ns-1\n"), "1 of 2 ids are there");
    assert!(rejection(&directory, b"\xff\xfe\n").contains("UTF-8"));
}

/// As version 0.1.0 wrote it.
const FIXTURE: &[u8] = include_bytes!("../../../tests/fixtures/snowfield.held");
const IDS: [&str; 3] = ["s-1", "s-5be2a07c", "\u{e9}"];

#[test]
fn the_file_of_version_0_1_0_is_read_and_written_alike_and_rejected_where_truncated() {
    let directory = Directory::new("fixture");
    fs::write(path(&directory.0), FIXTURE).expect("it is written");
    assert_eq!(read(&directory.0).expect("it can be read"), IDS);
    write(&directory.0, IDS.into_iter()).expect("it is written");
    assert_eq!(fs::read(path(&directory.0)).expect("it is there"), FIXTURE);
    for length in 0..FIXTURE.len() {
        rejection(&directory, &FIXTURE[..length]);
    }
}

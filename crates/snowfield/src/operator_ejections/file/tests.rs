//! Tests of the file as this version writes it, of damaged files, and of a file that version 0.1.0 wrote.

use super::*;

/// A temporary directory for the file, removed on drop.
struct Directory(PathBuf);

impl Directory {
    fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("snowfield-ejections-{test}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the directory is created");
        Self(path)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Writes a file with these bytes, and returns the text of the error with which it is rejected.
fn rejection_of(directory: &Directory, bytes: &[u8]) -> String {
    fs::write(path(&directory.0), bytes).expect("the file is written");
    read(&directory.0).expect_err("the file is rejected").to_string()
}

#[test]
fn a_written_file_is_read_and_a_damaged_one_is_rejected() {
    let directory = Directory::new("damaged");
    assert_eq!(read(&directory.0).expect("no file yet"), Vec::<String>::new());
    write(&directory.0, ["s-1", "s-2"].into_iter()).expect("the file is written");
    assert_eq!(read(&directory.0).expect("the file is read"), ["s-1", "s-2"]);
    let complete = fs::read(path(&directory.0)).expect("the file exists");
    for cut in 0..complete.len() {
        rejection_of(&directory, &complete[..cut]);
    }
    for bad in [&b"snowfield held 2 0\n"[..], b"\xff\xfe\n", b"snowfield held 1 x\n"] {
        rejection_of(&directory, bad);
    }
}

#[test]
fn each_rejection_names_the_damage() {
    let directory = Directory::new("texts");
    assert_eq!(rejection_of(&directory, b"snowfield held 1"), "the file has no complete first line");
    assert_eq!(
        rejection_of(&directory, b"snowfield held 2 0\n"),
        "the first line of the file names an unknown format or version"
    );
    assert_eq!(
        rejection_of(&directory, b"snowfield held 1 2\ns-1\n"),
        "the file is truncated or altered: 1 of 2 ids"
    );
    assert!(rejection_of(&directory, b"\xff\xfe\n").contains("UTF-8"));
}

/// A file that version 0.1.0 wrote.
const FIXTURE: &[u8] = include_bytes!("../../../tests/fixtures/snowfield.held");
const IDS: [&str; 3] = ["s-1", "s-5be2a07c", "\u{e9}"];

#[test]
fn the_file_of_version_0_1_0_is_read_and_written_unchanged_and_rejected_if_truncated() {
    let directory = Directory::new("fixture");
    fs::write(path(&directory.0), FIXTURE).expect("the file is written");
    assert_eq!(read(&directory.0).expect("the file is read"), IDS);
    write(&directory.0, IDS.into_iter()).expect("the file is written");
    assert_eq!(fs::read(path(&directory.0)).expect("the file exists"), FIXTURE);
    for length in 0..FIXTURE.len() {
        rejection_of(&directory, &FIXTURE[..length]);
    }
}

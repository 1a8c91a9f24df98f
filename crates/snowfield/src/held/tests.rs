//! The file as it is written, damaged, and as version 0.1.0 wrote it.

use super::*;

#[test]
fn what_was_written_is_read_and_what_is_damaged_is_not() {
    let folder = std::env::temp_dir().join(format!("snowfield-held-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    assert_eq!(read(&folder), Ok(vec![]), "no file yet");
    write(&folder, ["s-1", "s-2"].into_iter()).expect("it is written");
    assert_eq!(read(&folder), Ok(vec!["s-1".to_owned(), "s-2".to_owned()]));
    let whole = fs::read(path(&folder)).expect("it is there");
    for cut in 0..whole.len() {
        fs::write(path(&folder), &whole[..cut]).expect("it is cut");
        assert!(read(&folder).is_err(), "cut at {cut}");
    }
    for bad in [&b"snowfield held 2 0\n"[..], b"\xff\xfe\n", b"snowfield held 1 x\n"] {
        fs::write(path(&folder), bad).expect("it is damaged");
        assert!(read(&folder).is_err(), "{bad:?}");
    }
    fs::remove_dir_all(&folder).expect("it is removed");
}

/// As version 0.1.0 wrote it.
const FIXTURE: &[u8] = include_bytes!("../../tests/fixtures/snowfield.held");
const IDS: [&str; 3] = ["s-1", "s-5be2a07c", "\u{e9}"];

#[test]
fn the_file_of_version_0_1_0_is_read_and_written_alike_and_rejected_where_truncated() {
    let folder = std::env::temp_dir().join(format!("snowfield-held-fixture-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    fs::write(path(&folder), FIXTURE).expect("it is written");
    assert_eq!(read(&folder), Ok(IDS.map(str::to_owned).to_vec()));
    write(&folder, IDS.into_iter()).expect("it is written");
    assert_eq!(fs::read(path(&folder)).expect("it is there"), FIXTURE);
    for length in 0..FIXTURE.len() {
        fs::write(path(&folder), &FIXTURE[..length]).expect("it is cut");
        assert!(read(&folder).is_err(), "truncated to {length} bytes");
    }
    fs::remove_dir_all(&folder).expect("it is removed");
}

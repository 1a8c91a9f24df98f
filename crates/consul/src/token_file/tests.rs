//! Files that change or cannot be used.

use super::*;

#[test]
fn keeps_the_last_token_while_the_file_cannot_be_used() {
    let path = std::env::temp_dir().join(format!("snowfield-token-{}", std::process::id()));
    let token = TokenFile::new(Some(path.clone()));
    assert_eq!(token.current(), None);
    std::fs::write(&path, " one\n").expect("it is written");
    assert_eq!(token.current().as_deref(), Some("one"));
    for bad in ["", "two words", "\u{7}", &"x".repeat(MAX_TOKEN_BYTES + 1)] {
        std::fs::write(&path, bad).expect("it is written");
        assert_eq!(token.current().as_deref(), Some("one"), "{bad:?}");
    }
    std::fs::write(&path, "two").expect("it is written");
    assert_eq!(token.current().as_deref(), Some("two"));
    std::fs::remove_file(&path).expect("it was there");
    assert_eq!(token.current().as_deref(), Some("two"));
    assert_eq!(TokenFile::new(None).current(), None);
}

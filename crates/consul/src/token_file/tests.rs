//! Token files that are replaced, become invalid or are removed.

use super::*;

#[test]
fn keeps_the_last_valid_token_while_the_file_is_invalid_or_missing() {
    let path = std::env::temp_dir().join(format!("snowfield-token-{}", std::process::id()));
    let token = TokenFile::new(Some(path.clone()));
    assert_eq!(token.current(), None);
    std::fs::write(&path, " one\n").expect("the token file is written");
    assert_eq!(token.current().as_deref(), Some("one"));
    for invalid in ["", "two words", "\u{7}", &"x".repeat(MAX_TOKEN_BYTES + 1)] {
        std::fs::write(&path, invalid).expect("the token file is written");
        assert_eq!(token.current().as_deref(), Some("one"), "{invalid:?}");
    }
    std::fs::write(&path, "two").expect("the token file is written");
    assert_eq!(token.current().as_deref(), Some("two"));
    std::fs::remove_file(&path).expect("the token file exists");
    assert_eq!(token.current().as_deref(), Some("two"));
    assert_eq!(TokenFile::new(None).current(), None);
}

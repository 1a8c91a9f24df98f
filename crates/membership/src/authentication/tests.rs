//! Keys, their rotation, and what is not authentic.

use super::*;

fn keyring(text: &str) -> Keyring {
    Keyring::parse(text).expect("keys")
}

#[test]
fn keys_change_without_a_gap() {
    let (a, b) = ("aa".repeat(32), "bb".repeat(32));
    let [old, both, turned, new] =
        [a.clone(), format!("{a}\n{b}\n"), format!("# new first\n{b}\n\n{a}"), b].map(|text| keyring(&text));
    // Neighbouring steps understand each other in both directions.
    for (one, other) in [(&old, &both), (&both, &turned), (&turned, &new)] {
        assert_eq!(other.verify(&one.sign(b"x")), Some(&b"x"[..]));
        assert_eq!(one.verify(&other.sign(b"x")), Some(&b"x"[..]));
    }
    assert_eq!(new.verify(&old.sign(b"x")), None, "the old key is no longer valid");
}

#[test]
fn unusable_files_are_rejected_without_showing_a_key() {
    let key = "0f".repeat(32);
    let error = |text: &str| Keyring::parse(text).map(|_| ()).expect_err("an error");
    assert_eq!(error("# nothing\n"), KeyringError::Empty);
    assert_eq!(error(&format!("{key}\n{key}\n{key}")), KeyringError::TooManyKeys);
    assert_eq!(error(&format!("{key}\nxyz")), KeyringError::MalformedLine { line: 2 });
    assert_eq!(error(&key.replace('f', "ü")), KeyringError::MalformedLine { line: 1 });
    assert_eq!(format!("{:?}", keyring(&key)), "Keyring(1)");
}

#[test]
fn each_error_names_what_is_wrong_with_the_file() {
    let texts = [
        (KeyringError::Empty, "it holds no key: a line of 64 hexadecimal digits is needed"),
        (KeyringError::TooManyKeys, "it holds more than 2 keys"),
        (KeyringError::MalformedLine { line: 7 }, "line 7 is not 64 hexadecimal digits"),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn one_changed_byte_is_enough() {
    let keyring = keyring(&"0f".repeat(32));
    let message = keyring.sign(b"hello");
    assert_eq!(keyring.verify(&message), Some(&b"hello"[..]));
    for at in 0..message.len() {
        let mut damaged = message.clone();
        damaged[at] ^= 1;
        assert_eq!(keyring.verify(&damaged), None, "byte {at}");
        assert_eq!(keyring.verify(&message[..at]), None);
    }
    assert_eq!(keyring.verify(&keyring.sign(&[0; MAX_DATAGRAM_BYTES])), None, "too large");
}

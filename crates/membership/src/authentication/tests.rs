//! Tests of key files, key rotation and the rejection of messages that are not authentic.

use super::*;

fn keyring(text: &str) -> Keyring {
    Keyring::parse(text).expect("keys")
}

#[test]
fn consecutive_steps_of_a_key_rotation_accept_each_others_messages() {
    let (a, b) = ("aa".repeat(32), "bb".repeat(32));
    let [old, old_first, new_first, new] =
        [a.clone(), format!("{a}\n{b}\n"), format!("# new first\n{b}\n\n{a}"), b].map(|text| keyring(&text));
    for (one, other) in [(&old, &old_first), (&old_first, &new_first), (&new_first, &new)] {
        assert_eq!(other.verify(&one.sign(b"x")), Some(&b"x"[..]));
        assert_eq!(one.verify(&other.sign(b"x")), Some(&b"x"[..]));
    }
    assert_eq!(new.verify(&old.sign(b"x")), None, "the old key is no longer valid");
}

#[test]
fn unusable_key_files_are_rejected_without_exposing_a_key() {
    let key = "0f".repeat(32);
    let error = |text: &str| Keyring::parse(text).map(|_| ()).expect_err("an error");
    assert_eq!(error("# nothing\n"), KeyringError::Empty);
    assert_eq!(error(&format!("{key}\n{key}\n{key}")), KeyringError::TooManyKeys);
    assert_eq!(error(&format!("{key}\nxyz")), KeyringError::MalformedLine { line: 2 });
    assert_eq!(error(&key.replace('f', "ü")), KeyringError::MalformedLine { line: 1 });
    assert_eq!(format!("{:?}", keyring(&key)), "Keyring(1)");
}

#[test]
fn each_error_text_names_the_fault_in_the_key_file() {
    let texts = [
        (KeyringError::Empty, "it holds no key: a line of 64 hexadecimal digits is needed"),
        (KeyringError::TooManyKeys, "the key file holds more than 2 keys"),
        (KeyringError::MalformedLine { line: 7 }, "line 7 is not 64 hexadecimal digits"),
    ];
    for (error, text) in texts {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn a_message_that_is_truncated_or_has_one_changed_byte_is_rejected() {
    let keyring = keyring(&"0f".repeat(32));
    let message = keyring.sign(b"hello");
    assert_eq!(keyring.verify(&message), Some(&b"hello"[..]));
    for position in 0..message.len() {
        let mut damaged = message.clone();
        damaged[position] ^= 1;
        assert_eq!(keyring.verify(&damaged), None, "byte {position}");
        assert_eq!(keyring.verify(&message[..position]), None);
    }
    assert_eq!(keyring.verify(&keyring.sign(&[0; MAX_DATAGRAM_BYTES])), None, "too large");
}

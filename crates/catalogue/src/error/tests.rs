//! The text of each variant, as operators read it.

use super::*;
use std::error::Error;

#[test]
fn a_response_error_says_what_is_wrong_and_keeps_its_source() {
    let source = serde_json::from_str::<u8>("{").expect_err("no number");
    let text = format!("unreadable: {source}");
    let error = ResponseError::from(source);
    assert_eq!(error.to_string(), text);
    assert!(error.source().is_some());
    let error = ResponseError::TooManyInstances { count: 65_537 };
    assert_eq!(error.to_string(), "65537 instances, more than 65536");
}

#[test]
fn an_instance_error_names_the_value() {
    for (error, text) in [
        (InstanceError::Address("loans.example.com".into()), "no usable address \"loans.example.com\""),
        (InstanceError::Port(70_000), "no usable port 70000"),
        (InstanceError::Weight(-1.0), "no usable weight -1"),
        (InstanceError::Capacity("much".into()), "snowfield-capacity is \"much\", and not 0.01 to 1000"),
        (InstanceError::Started("-1".into()), "snowfield-started-ms is \"-1\", and no time"),
    ] {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn a_cached_list_error_says_why_the_file_is_not_used() {
    for (error, text) in [
        (CachedListError::NotAListFile, "it is no list of snowfield's"),
        (CachedListError::UnknownVersion("2".into()), "its version is \"2\", and 1 is known"),
        (CachedListError::Corrupt, "it was cut short or altered"),
        (CachedListError::TooOld { age: Duration::from_secs(200) }, "it is 200 s old, more than allowed"),
        (
            CachedListError::FromTheFuture { ahead: Duration::from_secs(900) },
            "it is from 900 s in the future",
        ),
    ] {
        assert_eq!(error.to_string(), text);
    }
}

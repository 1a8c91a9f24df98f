//! The error text of each variant, as it appears in the log.

use super::*;
use std::error::Error;

#[test]
fn a_response_error_says_what_is_wrong_and_keeps_its_source() {
    let source = serde_json::from_str::<u8>("{").expect_err("invalid JSON");
    let text = format!("the body is not a valid health response: {source}");
    let error = ResponseError::from(source);
    assert_eq!(error.to_string(), text);
    assert!(error.source().is_some());
    let error = ResponseError::TooManyInstances { count: 65_537 };
    assert_eq!(error.to_string(), "the response lists 65537 instances, more than the maximum of 65536");
}

#[test]
fn an_instance_error_names_the_value() {
    for (error, text) in [
        (
            InstanceError::Address("loans.example.com".into()),
            "address \"loans.example.com\" is not an IP address",
        ),
        (InstanceError::Port(70_000), "port 70000 is not in the range 1 to 65535"),
        (InstanceError::Weight(-1.0), "weight -1 is negative, too large or not a number"),
        (
            InstanceError::Capacity("much".into()),
            "snowfield-capacity is \"much\", not a number from 0.01 to 1000",
        ),
        (
            InstanceError::Started("-1".into()),
            "snowfield-started-ms is \"-1\", not a time in Unix milliseconds",
        ),
    ] {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn a_cached_list_error_says_why_the_file_is_not_used() {
    for (error, text) in [
        (CachedListError::NotACacheFile, "the file is not an endpoint cache file"),
        (
            CachedListError::UnsupportedVersion("2".into()),
            "the cache file has format version \"2\", but only 1 is supported",
        ),
        (CachedListError::Corrupt, "it was cut short or altered"),
        (
            CachedListError::TooOld { age: Duration::from_secs(200) },
            "the cached list is 200 s old, more than the maximum age",
        ),
        (
            CachedListError::DatedInFuture { ahead: Duration::from_secs(900) },
            "the cached list is dated 900 s in the future",
        ),
    ] {
        assert_eq!(error.to_string(), text);
    }
}

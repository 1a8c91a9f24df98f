//! The error text of each variant, as it appears in the log.

use super::*;
use std::error::Error;

#[test]
fn a_query_error_says_why_the_response_is_not_used() {
    let response = ResponseError::TooManyInstances { count: 70_000 };
    for (error, text, is_stale) in [
        (QueryError::NoLeader, "the servers have no leader", true),
        (
            QueryError::Stale { since_contact: Duration::from_millis(900) },
            "the responding server last heard from its leader 900 ms ago",
            true,
        ),
        (QueryError::Status(500), "the agent responded with status 500", false),
        (
            QueryError::Transport(ureq::Error::HostNotFound),
            "the HTTP request to the agent failed: host not found",
            false,
        ),
        (
            QueryError::Response(response),
            "the response lists 70000 instances, more than the maximum of 65536",
            false,
        ),
    ] {
        assert_eq!((error.to_string().as_str(), error.is_stale()), (text, is_stale));
    }
}

#[test]
fn a_token_error_names_the_file_and_keeps_its_source() {
    let path = PathBuf::from("/etc/consul.token");
    let source = io::Error::new(io::ErrorKind::NotFound, "no such file");
    let error = TokenError::Unreadable { path: path.clone(), source };
    assert_eq!(error.to_string(), "/etc/consul.token: cannot read the token file: no such file");
    assert!(error.source().is_some());
    assert_eq!(
        TokenError::InvalidToken { path }.to_string(),
        "/etc/consul.token: the file does not contain a valid token"
    );
}

#[test]
fn a_cache_file_error_says_why_the_file_is_not_used() {
    let source = io::Error::new(io::ErrorKind::PermissionDenied, "permission denied");
    assert_eq!(CacheFileError::from(source).to_string(), "cannot read the cache file: permission denied");
    let error = CacheFileError::from(CachedListError::Corrupt);
    assert_eq!(error.to_string(), "it was cut short or altered");
}

//! The texts that the errors of the harness print.

use super::*;

#[test]
fn errors_state_what_failed() {
    let not_found = || io::Error::from(io::ErrorKind::NotFound);
    let gatekeeper = || "m1".to_owned();
    let cases = [
        (
            Error::file(Path::new("a/b.toml"))(not_found()),
            "cannot read, write or move a/b.toml: entity not found",
        ),
        (
            Error::start(Path::new("old/snowfield"))(not_found()),
            "cannot start old/snowfield: entity not found",
        ),
        (Error::from(io::Error::other("no free addresses")), "no free addresses"),
        (
            Error::ConfigurationNotCreated { output: "exists already".to_owned() },
            "cannot create the replicated configuration: exists already",
        ),
        (Error::NotServing { gatekeeper: gatekeeper() }, "m1 does not serve"),
        (Error::NotServingAgain { gatekeeper: gatekeeper() }, "m1 does not serve again"),
        (Error::SuccessorNotReady, "the new program of an upgrade is not ready"),
        (Error::SuccessorNotServing, "the new program of an upgrade does not serve"),
        (Error::FaultPanicked, "the thread that injects a fault panicked"),
        (Error::NoEndpointList, "the first gatekeeper received no endpoint list"),
        (Error::NoCachedList, "the first gatekeeper wrote no cached endpoint list"),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}

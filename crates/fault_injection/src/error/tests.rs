//! The texts that whoever runs the harness may read.

use super::*;

#[test]
fn errors_name_what_went_wrong() {
    let missing = || io::Error::from(io::ErrorKind::NotFound);
    let gatekeeper = || "m1".to_owned();
    let cases = [
        (Error::file(Path::new("a/b.toml"))(missing()), "a/b.toml: entity not found"),
        (Error::start(Path::new("old/snowfield"))(missing()), "old/snowfield: entity not found"),
        (Error::from(io::Error::other("no free addresses")), "no free addresses"),
        (Error::ConfigurationNotCreated { output: "exists already".to_owned() }, "exists already"),
        (Error::NotServing { gatekeeper: gatekeeper() }, "m1 does not serve"),
        (Error::NotServingAgain { gatekeeper: gatekeeper() }, "m1 does not serve again"),
        (Error::SuccessorNotReady, "the new program of an upgrade is not ready"),
        (Error::SuccessorNotServing, "the new program of an upgrade does not serve"),
        (Error::FaultPanicked, "a fault panicked"),
        (Error::NoEndpointList, "the first program never had a list"),
        (Error::NoCachedList, "the first program kept no list"),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}

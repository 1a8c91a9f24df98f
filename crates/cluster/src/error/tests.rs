//! Tests of the error texts.

use super::*;
use std::error::Error;

#[test]
fn each_text_names_the_address_or_the_thread_and_keeps_its_source() {
    let source = || io::Error::other("in use");
    let address = SocketAddr::from(([127, 0, 0, 1], 7946));
    let errors = [
        (
            ClusterError::BindGossip { address, source: source() },
            "cannot bind the gossip socket on 127.0.0.1:7946: in use",
        ),
        (
            ClusterError::SpawnThread { name: "cluster", source: source() },
            "cannot start thread cluster: in use",
        ),
    ];
    for (error, text) in errors {
        assert_eq!(error.to_string(), text);
        assert_eq!(error.source().map(ToString::to_string), Some("in use".to_owned()));
    }
}

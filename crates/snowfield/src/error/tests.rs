//! Tests of the error texts and of the exit codes.

use super::*;
use std::io::ErrorKind;

fn path() -> PathBuf {
    "/etc/snowfield/a.toml".into()
}

fn connection_refused() -> io::Error {
    ErrorKind::ConnectionRefused.into()
}

/// Checks the text of each error.
fn assert_texts<const N: usize>(errors: [(Error, &str); N]) {
    for (error, text) in errors {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn each_file_error_names_the_file() {
    let not_found = || ErrorKind::NotFound.into();
    let empty_list = || SettingsError::EmptyList { key: "descriptions" };
    let policy_error = policy::Settings { gatekeepers: 0, ..policy::Settings::default() };
    let policy_error = policy_error.validate().expect_err("no gatekeeper");
    let policy_text = format!("the policy rejects the settings in /etc/snowfield/a.toml: {policy_error}");
    assert_eq!(Error::from(policy_error.clone()).to_string(), policy_error.to_string());
    let keyring = membership::authentication::Keyring::parse("").expect_err("no key");
    assert_texts([
        (Error::NoConfigFile, "BALANCER_CONFIG names no configuration file"),
        (
            Error::File { path: path(), source: not_found() },
            "cannot read /etc/snowfield/a.toml: entity not found",
        ),
        (Error::file(&path())(not_found()), "cannot read /etc/snowfield/a.toml: entity not found"),
        (
            Error::FileTooLong { path: path(), limit: 16 },
            "/etc/snowfield/a.toml: the file is longer than the limit of 16 bytes",
        ),
        (
            Error::settings(&path())(empty_list()),
            "invalid settings in /etc/snowfield/a.toml: descriptions: at least one is needed",
        ),
        (Error::PolicyOfFile { path: path(), source: policy_error }, policy_text.as_str()),
        (
            Error::MissingTable { path: path(), table: "agreed" },
            "/etc/snowfield/a.toml: the table [agreed] is missing",
        ),
        (
            Error::Keyring { path: path(), source: keyring },
            "invalid key file /etc/snowfield/a.toml: it holds no key: a line of 64 hexadecimal digits is needed",
        ),
        (Error::NoStatusAddress { path: path() }, "/etc/snowfield/a.toml: no status address is configured"),
    ]);
}

#[test]
fn each_route_error_names_the_route_or_path() {
    let route = || "loans.json: GET /loans".to_owned();
    assert_texts([
        (
            Error::UndefinedByRoute { route: route(), kind: "class", name: "lookup".into() },
            "loans.json: GET /loans has the class \"lookup\", which the file does not define",
        ),
        (
            Error::RouteExceedsBurst { route: route(), units: 500.0, plan: "basic".into() },
            "loans.json: GET /loans takes 500 units, more than the burst of plan \"basic\"",
        ),
        (Error::NoRoute { path: "/loans".into() }, "no route matches /loans"),
        (Error::InvalidPath { path: "loans".into() }, "the path loans is invalid"),
        (
            Error::WrongMethod { path: "/loans".into(), allowed: "GET, POST".into() },
            "/loans allows only GET, POST",
        ),
    ]);
    let error = openapi::RouteTable::load(&[openapi::Description { name: "loans.json", text: "[" }]);
    let error = error.expect_err("no description");
    let text = error.to_string();
    assert!(text.starts_with("loans.json: "), "{text}");
    assert_eq!(Error::from(error).to_string(), text);
}

#[test]
fn each_startup_error_names_what_failed() {
    let address = ([127, 0, 0, 1], 9600).into();
    assert_texts([
        (Error::Signals(connection_refused()), "cannot install the signal handlers: connection refused"),
        (
            Error::InvalidAddress { variable: "BALANCER_OPERATOR", value: "9600".into() },
            "BALANCER_OPERATOR: \"9600\" is not an IP address with a port",
        ),
        (
            Error::InvalidLogFormat { variable: "SNOWFIELD_LOG", value: "xml".into() },
            "SNOWFIELD_LOG: \"xml\" is neither \"plain\" nor \"json\"",
        ),
        (
            Error::Listen { address, source: connection_refused() },
            "cannot listen on 127.0.0.1:9600: connection refused",
        ),
        (
            Error::AdminListener { address, source: connection_refused() },
            "cannot start the admin listener on 127.0.0.1:9600: connection refused",
        ),
        (
            Error::from(config_node::Error::Listen { address, source: connection_refused() }),
            "cannot start the node for the replicated plans: cannot listen on 127.0.0.1:9600: connection refused",
        ),
        (
            Error::from(cluster::ClusterError::BindGossip { address, source: connection_refused() }),
            "cluster: cannot bind the gossip socket on 127.0.0.1:9600: connection refused",
        ),
        (
            Error::ReplicaLog(config_node::Error::LogExists { path: "m0.log".into() }),
            "m0.log: a replica log already exists; it was left unchanged",
        ),
        (
            Error::ConsulToken(consul::TokenError::InvalidToken { path: "token".into() }),
            "consul: token_file: token: the file does not contain a valid token",
        ),
        (
            Error::ConsulWatch(connection_refused()),
            "cannot start a watch on a Consul service: connection refused",
        ),
        (
            Error::Registration(connection_refused()),
            "cannot start the registration in Consul: connection refused",
        ),
        (
            Error::NoStatus { address, source: connection_refused() },
            "cannot read the status from 127.0.0.1:9600: connection refused",
        ),
        (Error::from(connection_refused()), "connection refused"),
    ]);
}

#[test]
fn each_hot_restart_error_says_what_failed() {
    let encoding_error = postcard::Error::SerializeBufferFull;
    let encoding_text = format!("the snapshot of the policy cannot be encoded: {encoding_error}");
    assert_texts([
        (Error::from(handover::Error::Io(connection_refused())), "connection refused"),
        (
            Error::UnexpectedMessage,
            "the predecessor replied to the request for its state with an unexpected message",
        ),
        (Error::NoListener, "the predecessor sent its state without its listening socket"),
        (Error::StateTimeout, "the snapshot of the policy for the successor was not ready in time"),
        (Error::Snapshot(encoding_error), encoding_text.as_str()),
    ]);
}

#[test]
fn each_settings_command_error_has_its_text_and_exit_code() {
    let proposed_by = || "staff".to_owned();
    for (error, text, exit_code) in [
        (Error::NotAReplica, "this instance is not a voter; only a voter has a log", 1),
        (Error::UnexpectedAnswer, "a replica answered with an unexpected message", 1),
        (Error::ProposalTooLarge, "the file with the proposed plans is too large", 1),
        (
            Error::ProposalRejected("plan \"gold\"".into()),
            "the proposed plans are rejected: plan \"gold\"",
            1,
        ),
        (
            Error::VersionConflict { version: 3, proposed_by: proposed_by() },
            "version 3, by staff, is in force; nothing is changed",
            3,
        ),
        (
            Error::RolloutInProgress { version: 4, proposed_by: proposed_by() },
            "version 4, by staff, is proposed and not yet in force; nothing is changed",
            3,
        ),
        (
            Error::NoMajority { last_failure: "m1 is not the leader".into() },
            "no majority of the voters answers (m1 is not the leader); whether a proposal was accepted is unknown",
            4,
        ),
    ] {
        assert_eq!((error.to_string().as_str(), error.exit_code()), (text, exit_code));
    }
}

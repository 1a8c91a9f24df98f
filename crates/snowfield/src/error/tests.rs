//! The texts that operators read, and the exit codes.

use super::*;
use std::io::ErrorKind;

fn path() -> PathBuf {
    "/etc/snowfield/a.toml".into()
}

fn refused() -> io::Error {
    ErrorKind::ConnectionRefused.into()
}

/// The text of each of these.
fn assert_texts<const N: usize>(errors: [(Error, &str); N]) {
    for (error, text) in errors {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn each_error_of_a_file_names_the_file() {
    let source = || ErrorKind::NotFound.into();
    let settings = || SettingsError::EmptyList { key: "descriptions" };
    let source_of_policy = policy::Settings { gatekeepers: 0, ..policy::Settings::default() };
    let source_of_policy = source_of_policy.validate().expect_err("no gatekeeper");
    let policy_text = format!("/etc/snowfield/a.toml: {source_of_policy}");
    assert_eq!(Error::from(source_of_policy.clone()).to_string(), source_of_policy.to_string());
    let keyring = membership::authentication::Keyring::parse("").expect_err("no key");
    assert_texts([
        (Error::NoConfigFile, "BALANCER_CONFIG names no configuration file"),
        (Error::File { path: path(), source: source() }, "/etc/snowfield/a.toml: entity not found"),
        (Error::file(&path())(source()), "/etc/snowfield/a.toml: entity not found"),
        (
            Error::FileTooLong { path: path(), limit: 16 },
            "/etc/snowfield/a.toml: it is too long, 16 bytes are allowed",
        ),
        (Error::settings(&path())(settings()), "/etc/snowfield/a.toml: descriptions: at least one is needed"),
        (Error::PolicyOfFile { path: path(), source: source_of_policy }, policy_text.as_str()),
        (
            Error::MissingTable { path: path(), table: "agreed" },
            "/etc/snowfield/a.toml: it has no table [agreed]",
        ),
        (
            Error::Keyring { path: path(), source: keyring },
            "/etc/snowfield/a.toml: it holds no key: a line of 64 hexadecimal digits is needed",
        ),
        (Error::NoStatusAddress { path: path() }, "/etc/snowfield/a.toml: it names no status address"),
    ]);
}

#[test]
fn each_error_of_a_route_names_the_route() {
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
        (Error::NoRoute { path: "/loans".into() }, "/loans: no route"),
        (Error::InvalidPath { path: "loans".into() }, "loans: no path that is served"),
        (Error::WrongMethod { path: "/loans".into(), allowed: "GET, POST".into() }, "/loans takes GET, POST"),
    ]);
    let error = openapi::RouteTable::load(&[openapi::Description { name: "loans.json", text: "[" }]);
    let error = error.expect_err("no description");
    let text = error.to_string();
    assert!(text.starts_with("loans.json: "), "{text}");
    assert_eq!(Error::from(error).to_string(), text);
}

#[test]
fn each_error_of_the_start_names_the_variable_or_address() {
    let address = ([127, 0, 0, 1], 9600).into();
    assert_texts([
        (Error::Signals(refused()), "signals: connection refused"),
        (
            Error::InvalidAddress { variable: "BALANCER_OPERATOR", value: "9600".into() },
            "BALANCER_OPERATOR: \"9600\" is no address and port",
        ),
        (
            Error::InvalidLogFormat { variable: "SNOWFIELD_LOG", value: "xml".into() },
            "SNOWFIELD_LOG: \"xml\" is neither \"plain\" nor \"json\"",
        ),
        (Error::Listen { address, source: refused() }, "127.0.0.1:9600: connection refused"),
        (Error::AdminListener { address, source: refused() }, "operator 127.0.0.1:9600: connection refused"),
        (
            Error::from(config_node::Error::Listen { address, source: refused() }),
            "agreed: cannot listen on 127.0.0.1:9600: connection refused",
        ),
        (
            Error::from(cluster::ClusterError::BindGossip { address, source: refused() }),
            "cluster: gossip on 127.0.0.1:9600: connection refused",
        ),
        (
            Error::ReplicaLog(config_node::Error::LogExists { path: "m0.log".into() }),
            "m0.log: there is a log already; it is left as it is",
        ),
        (
            Error::ConsulToken(consul::TokenError::NoToken { path: "token".into() }),
            "consul: token_file: token: it holds no token",
        ),
        (Error::ConsulWatch(refused()), "consul: connection refused"),
        (Error::Registration(refused()), "register: connection refused"),
        (Error::NoStatus { address, source: refused() }, "127.0.0.1:9600: connection refused"),
        (Error::from(refused()), "connection refused"),
    ]);
}

#[test]
fn each_error_of_a_hot_restart_says_what_the_other_process_did() {
    let encoding = postcard::Error::SerializeBufferFull;
    let encoding_text = format!("the snapshot of the policy cannot be encoded: {encoding}");
    assert_texts([
        (Error::from(handover::Error::Io(refused())), "connection refused"),
        (Error::UnexpectedMessage, "it sent something else"),
        (Error::NoListener, "it sent no listener"),
        (Error::StateTimeout, "its state was not ready in time"),
        (Error::Snapshot(encoding), encoding_text.as_str()),
    ]);
}

#[test]
fn each_outcome_of_the_settings_command_has_its_text_and_exit_code() {
    let proposed_by = || "staff".to_owned();
    for (error, text, exit_code) in [
        (Error::NotAReplica, "this instance is no voter", 1),
        (Error::UnexpectedAnswer, "an answer that is none", 1),
        (Error::ProposalTooLarge, "it is too large", 1),
        (Error::ProposalRejected("plan \"gold\"".into()), "plan \"gold\"", 1),
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
            Error::NoMajority { last: "m1 does not lead".into() },
            "no majority of the voters answers (m1 does not lead); nothing is changed, or it is not known whether",
            4,
        ),
    ] {
        assert_eq!((error.to_string().as_str(), error.exit_code()), (text, exit_code));
    }
}

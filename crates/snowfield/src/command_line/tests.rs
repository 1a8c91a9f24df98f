//! Tests of the arguments that are accepted, and of those that are rejected.

use super::*;

fn parse(arguments: &[&str]) -> Result<CommandLine, clap::Error> {
    CommandLine::try_parse_from([&["snowfield"], arguments].concat())
}

#[test]
fn parses_each_command() {
    let file = || PathBuf::from("a.toml");
    let command = |arguments: &[&str]| parse(arguments).expect("a command").command;
    assert!(command(&[]).is_none(), "the platform passes no arguments");
    assert_eq!(command(&["serve", "a.toml"]), Some(Command::Serve { file: file() }));
    assert_eq!(command(&["check", "a.toml"]), Some(Command::Check { file: file() }));
    assert_eq!(command(&["routes", "a.toml"]), Some(Command::Routes { file: file() }));
    let explain = Command::Explain { file: file(), method: "GET".into(), path: "/v1/loans/7".into() };
    assert_eq!(command(&["explain", "a.toml", "GET", "/v1/loans/7"]), Some(explain));
    assert_eq!(command(&["status", "a.toml"]), Some(Command::Status { file: file() }));
    assert_eq!(command(&["watch", "a.toml"]), Some(Command::Watch { file: file() }));
    let settings = |arguments: &[&str]| match command(&[&["settings"], arguments].concat()) {
        Some(Command::Settings { command }) => command,
        other => panic!("{other:?}"),
    };
    let rules = || PathBuf::from("r.toml");
    assert_eq!(settings(&["begin", "a.toml"]), SettingsCommand::Begin { file: file() });
    assert_eq!(settings(&["show", "a.toml"]), SettingsCommand::Show { file: file() });
    assert_eq!(
        settings(&["diff", "a.toml", "r.toml"]),
        SettingsCommand::Diff { file: file(), rules: rules() }
    );
    let propose = |expect| SettingsCommand::Propose { file: file(), rules: rules(), expect };
    assert_eq!(settings(&["propose", "a.toml", "r.toml"]), propose(None));
    assert_eq!(settings(&["propose", "a.toml", "r.toml", "--expect", "7"]), propose(Some(7)));
}

#[test]
fn help_and_version_go_to_stdout_and_errors_to_stderr() {
    for arguments in [&["help"][..], &["--help"], &["-h"], &["--version"], &["-V"], &["settings", "help"]] {
        assert!(!parse(arguments).expect_err("no command").use_stderr(), "{arguments:?}");
    }
    let version = concat!("snowfield ", env!("CARGO_PKG_VERSION"), "\n");
    assert_eq!(parse(&["--version"]).expect_err("no command").to_string(), version);
    for arguments in [
        &["nonsense"][..],
        &["serve"],
        &["serve", "a.toml", "b.toml"],
        &["explain", "a.toml", "GET"],
        &["settings"],
        &["settings", "begin"],
        &["settings", "propose", "a.toml", "r.toml", "--expect", "x"],
    ] {
        assert!(parse(arguments).expect_err("no command").use_stderr(), "{arguments:?}");
    }
    let help = parse(&["help"]).expect_err("no command").to_string();
    for line in ["snowfield serve FILE ", "snowfield check FILE ", "snowfield watch FILE ", "BALANCER_CONFIG"]
    {
        assert!(help.contains(line), "{line}: {help}");
    }
}

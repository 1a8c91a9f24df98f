//! `known_failures LIST COMMAND...`: runs `cargo test`, forwards its output, and exits with success if the run has no problem.
//! `known_failures --soak LIST COMMAND...` does the same for `proof-soak`. A list that does not exist counts as empty.

use known_failures::{KnownFailure, ListError, Problem, SoakRun, TestRun, parse_list};
use std::io::{self, BufRead, BufReader, ErrorKind, PipeReader, Write};
use std::process::{Child, Command, ExitCode};

/// The option for a soak run.
const SOAK_OPTION: &str = "--soak";

/// An error that prevents the verdict on the run.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("usage: known_failures [--soak] LIST COMMAND...")]
    Usage,
    #[error("cannot read {path}: {source}")]
    ReadList { path: String, source: io::Error },
    #[error("{path} is not a valid list: {source}")]
    List { path: String, source: ListError },
    #[error("cannot start {program}: {source}")]
    Start { program: String, source: io::Error },
    #[error("cannot forward the output of the command or wait for its end: {0}")]
    Output(#[from] io::Error),
}

fn read_list(path: String) -> Result<Vec<KnownFailure>, Error> {
    match std::fs::read_to_string(&path) {
        Ok(text) => parse_list(&text).map_err(|source| Error::List { path, source }),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(Vec::new()),
        Err(source) => Err(Error::ReadList { path, source }),
    }
}

/// Starts the command with both of its output streams in one pipe. Cargo writes the names of targets to one stream, and the
/// results of their tests to the other; the pipe keeps their order.
fn start_command(
    program: String,
    arguments: impl Iterator<Item = String>,
) -> Result<(Child, PipeReader), Error> {
    let (output, writer) = io::pipe()?;
    let mut command = Command::new(&program);
    command.args(arguments).stderr(writer.try_clone()?).stdout(writer);
    // `command` holds the write end of the pipe. It is dropped on return, so that the output ends with the child.
    let child = command.spawn().map_err(|source| Error::Start { program, source })?;
    Ok((child, output))
}

/// Forwards the output of the command to stdout, and applies each line of it.
fn forward_and_apply(output: PipeReader, mut apply_line: impl FnMut(&str)) -> io::Result<()> {
    let mut lines = BufReader::new(output);
    let mut line = Vec::new();
    while lines.read_until(b'\n', &mut line)? > 0 {
        // An error of stdout is ignored: it does not change the verdict.
        let _ = io::stdout().write_all(&line);
        apply_line(&String::from_utf8_lossy(&line));
        line.clear();
    }
    Ok(())
}

/// Runs the command, prints the known failures, and returns the problems of the run.
fn find_problems() -> Result<Vec<Problem>, Error> {
    let mut arguments = std::env::args().skip(1).peekable();
    let is_soak = arguments.next_if(|argument| argument == SOAK_OPTION).is_some();
    let (Some(list), Some(program)) = (arguments.next(), arguments.next()) else {
        return Err(Error::Usage);
    };
    let mut known_failures = read_list(list)?;
    known_failures.retain(|known| known.is_of_soak() == is_soak);
    let (mut child, output) = start_command(program, arguments)?;
    let (mut tests, mut soak) = (TestRun::default(), SoakRun::default());
    forward_and_apply(output, |line| if is_soak { soak.apply_line(line) } else { tests.apply_line(line) })?;
    let succeeded = child.wait()?.success();
    known_failures.iter().for_each(|known| println!("{known}"));
    Ok(if is_soak {
        soak.problems(succeeded, &known_failures)
    } else {
        tests.problems(succeeded, &known_failures)
    })
}

fn main() -> ExitCode {
    match find_problems() {
        Ok(problems) if problems.is_empty() => ExitCode::SUCCESS,
        Ok(problems) => {
            problems.iter().for_each(|problem| eprintln!("error: {problem}"));
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

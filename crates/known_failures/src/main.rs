//! `known_failures LIST COMMAND...`: runs a test command, forwards its output, and exits with success if the run has no problem.
//! A list that does not exist counts as empty.

use known_failures::{KnownFailure, ListError, Problem, TestRun, parse_list};
use std::io::{self, BufRead, BufReader, ErrorKind, PipeReader, Write};
use std::process::{Child, Command, ExitCode};

/// An error that prevents the verdict on the run.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("usage: known_failures LIST COMMAND...")]
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

/// Forwards the output of the command to stdout, and parses it.
fn forward_and_parse(output: PipeReader) -> io::Result<TestRun> {
    let mut run = TestRun::default();
    let mut lines = BufReader::new(output);
    let mut line = Vec::new();
    while lines.read_until(b'\n', &mut line)? > 0 {
        // An error of stdout is ignored: it does not change the verdict.
        let _ = io::stdout().write_all(&line);
        run.apply_line(&String::from_utf8_lossy(&line));
        line.clear();
    }
    Ok(run)
}

/// Runs the command, prints the known failures, and returns the problems of the run.
fn find_problems() -> Result<Vec<Problem>, Error> {
    let mut arguments = std::env::args().skip(1);
    let (Some(list), Some(program)) = (arguments.next(), arguments.next()) else {
        return Err(Error::Usage);
    };
    let known_failures = read_list(list)?;
    let (mut child, output) = start_command(program, arguments)?;
    let run = forward_and_parse(output)?;
    let succeeded = child.wait()?.success();
    known_failures.iter().for_each(|known| println!("{known}"));
    Ok(run.problems(succeeded, &known_failures))
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

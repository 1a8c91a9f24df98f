//! `known_failures LIST COMMAND...`: runs a test command, passes on what it writes, and tells whether the run is good. A list that
//! does not exist is an empty one.

use known_failures::{KnownFailure, ListError, Problem, TestRun, parse_list};
use std::io::{self, BufRead, BufReader, ErrorKind, PipeReader, Write};
use std::process::{Child, Command, ExitCode};

/// What keeps the program from a verdict.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("usage: known_failures LIST COMMAND...")]
    Usage,
    #[error("{path}: {source}")]
    ReadList { path: String, source: io::Error },
    #[error("{path}: {source}")]
    List { path: String, source: ListError },
    #[error("{program}: {source}")]
    Start { program: String, source: io::Error },
    #[error("{0}")]
    Output(#[from] io::Error),
}

fn read_list(path: String) -> Result<Vec<KnownFailure>, Error> {
    match std::fs::read_to_string(&path) {
        Ok(text) => parse_list(&text).map_err(|source| Error::List { path, source }),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(Vec::new()),
        Err(source) => Err(Error::ReadList { path, source }),
    }
}

/// Starts the command. Both of its streams go through one pipe: which target runs is told on the one, how its tests end on the
/// other.
fn start(program: String, arguments: impl Iterator<Item = String>) -> Result<(Child, PipeReader), Error> {
    let (output, writer) = io::pipe()?;
    let mut command = Command::new(&program);
    command.args(arguments).stderr(writer.try_clone()?).stdout(writer);
    // The command holds the pipe's other end, which would keep the output from ending; it is dropped here.
    let child = command.spawn().map_err(|source| Error::Start { program, source })?;
    Ok((child, output))
}

/// Passes on all that the command writes, and follows it.
fn follow(output: PipeReader) -> io::Result<TestRun> {
    let mut run = TestRun::default();
    let mut lines = BufReader::new(output);
    let mut line = Vec::new();
    while lines.read_until(b'\n', &mut line)? > 0 {
        // Nobody may read it any more; the verdict counts all the same.
        let _ = io::stdout().write_all(&line);
        run.apply_line(&String::from_utf8_lossy(&line));
        line.clear();
    }
    Ok(run)
}

/// What speaks against the run.
fn judge() -> Result<Vec<Problem>, Error> {
    let mut arguments = std::env::args().skip(1);
    let (Some(list), Some(program)) = (arguments.next(), arguments.next()) else {
        return Err(Error::Usage);
    };
    let known_failures = read_list(list)?;
    let (mut child, output) = start(program, arguments)?;
    let run = follow(output)?;
    let succeeded = child.wait()?.success();
    known_failures.iter().for_each(|known| println!("{known}"));
    Ok(run.problems(succeeded, &known_failures))
}

fn main() -> ExitCode {
    match judge() {
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

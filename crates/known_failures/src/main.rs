//! `known_failures LIST COMMAND...`: runs a test command, passes on what it writes, and tells whether the run is good. A list that does
//! not exist is an empty one.

use known_failures::{Run, read};
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::process::{Command, ExitCode};

fn judge() -> Result<Vec<String>, String> {
    let mut arguments = std::env::args().skip(1);
    let (Some(list), Some(program)) = (arguments.next(), arguments.next()) else {
        return Err("usage: known_failures LIST COMMAND...".into());
    };
    let list = match std::fs::read_to_string(&list) {
        Err(e) if e.kind() == ErrorKind::NotFound => Vec::new(),
        text => read(&text.map_err(|e| format!("{list}: {e}"))?).map_err(|e| format!("{list}: {e}"))?,
    };
    // Both streams through one pipe: which target runs is told on the one, how its tests end on the other.
    let (reads, writes) = std::io::pipe().map_err(|e| e.to_string())?;
    let mut command = Command::new(&program);
    command.args(arguments).stderr(writes.try_clone().map_err(|e| e.to_string())?).stdout(writes);
    let mut child = command.spawn().map_err(|e| format!("{program}: {e}"))?;
    // It holds the pipe's other end, which would keep the lines from ending.
    drop(command);
    let mut run = Run::default();
    let mut lines = BufReader::new(reads);
    let mut line = Vec::new();
    while lines.read_until(b'\n', &mut line).map_err(|e| e.to_string())? > 0 {
        // Nobody may read it any more; the verdict counts all the same.
        let _ = std::io::stdout().write_all(&line);
        run.line(&String::from_utf8_lossy(&line));
        line.clear();
    }
    let succeeded = child.wait().map_err(|e| e.to_string())?.success();
    list.iter().for_each(|known| println!("{known}"));
    Ok(run.faults(succeeded, &list))
}

fn main() -> ExitCode {
    let faults = judge().unwrap_or_else(|why| vec![why]);
    faults.iter().for_each(|fault| eprintln!("error: {fault}"));
    if faults.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

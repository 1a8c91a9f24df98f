//! The commands that show something on the terminal.

use crate::checked_config::CheckedConfig;
use crate::error::Error;
use openapi::RouteMatch;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;
use timing::ClassTiming;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// Clears the terminal and moves to its upper left corner.
const CLEAR: &str = "\x1b[2J\x1b[H";

/// Checks a file and prints what it holds.
///
/// # Errors
///
/// Says what is missing or cannot be used.
pub fn check(path: &Path) -> Result<(), Error> {
    let CheckedConfig { config, routes } = CheckedConfig::read(path)?;
    println!(
        "{}: {} routes, {} lenders, {} plans; listens on {}",
        path.display(),
        routes.routes().len(),
        config.tenants.len(),
        config.plans.len(),
        config.listen
    );
    Ok(())
}

/// Lists the routes.
///
/// # Errors
///
/// As [`check`].
pub fn routes(path: &Path) -> Result<(), Error> {
    for route in CheckedConfig::read(path)?.routes.routes() {
        let name = route.name.as_deref().unwrap_or("-");
        println!(
            "{:7} {}  units {}  class {}  {name}  {}",
            route.method, route.path, route.units, route.class, route.source
        );
    }
    Ok(())
}

/// Prints the times that hold for a request, where each comes from, and the course of its worst case.
///
/// # Errors
///
/// As [`check`], or no route takes the request.
pub fn explain(path: &Path, method: &str, target: &str) -> Result<(), Error> {
    let checked = CheckedConfig::read(path)?;
    let target_path = target.to_owned();
    let number = match checked.routes.find(method, target) {
        Ok(RouteMatch::Route(number)) => number,
        Ok(RouteMatch::MethodNotAllowed(allowed)) => {
            return Err(Error::WrongMethod { path: target_path, allowed: allowed.to_string() });
        }
        Ok(RouteMatch::NotFound) => return Err(Error::NoRoute { path: target_path }),
        Err(_) => return Err(Error::InvalidPath { path: target_path }),
    };
    let route = &checked.routes.routes()[number];
    println!("{} {}  class {}  from {}", route.method, route.path, route.class, route.source);
    // Each route's class is one of the file's, or the check would have failed.
    for timing in checked.config.timings().iter().filter(|timing| timing.class == route.class) {
        print_timing(timing);
    }
    Ok(())
}

fn print_timing(timing: &ClassTiming) {
    let class = format!("class {:?}", timing.class);
    let stated = |value: Option<u64>, unit: &str, otherwise: String| match value {
        Some(value) => format!("{value}{unit}, stated by {class}"),
        None => otherwise,
    };
    let default_attempts = format!("{}, from limits.route_steps", timing.attempt_limit);
    let hedge =
        if timing.idempotent { "when it is late for its class" } else { "never: it must not run twice" };
    println!("  wanted within  {} ms, stated by {class}", timing.latency_objective_ms);
    println!("  given up after {} ms, stated by {class}", timing.deadline_ms);
    println!("  attempts       {}", stated(timing.max_attempts.map(u64::from), "", default_attempts));
    println!(
        "  each attempt   {}",
        stated(timing.attempt_timeout_ms, " ms", "until the client gives up".into())
    );
    println!("  second copy    {}", stated(timing.hedge_after_ms, " ms", hedge.into()));
    println!("  may run again  {}", if timing.idempotent { "yes" } else { "no" });
    println!("the worst case:");
    for moment in timing.worst_case_timeline() {
        println!("  {:>6} ms  {}", moment.at_ms, moment.event);
    }
}

/// Prints the status of the program that serves a file.
///
/// # Errors
///
/// The file names no status address, or nobody answers there.
pub fn status(path: &Path) -> Result<(), Error> {
    print!("{}", fetch_status(path)?);
    Ok(())
}

/// Prints the status again each second, until interrupted.
///
/// # Errors
///
/// As [`status`].
pub fn watch(path: &Path) -> Result<(), Error> {
    loop {
        print!("{CLEAR}{}", fetch_status(path)?);
        std::io::stdout().flush()?;
        std::thread::sleep(WATCH_INTERVAL);
    }
}

fn fetch_status(path: &Path) -> Result<String, Error> {
    let address = CheckedConfig::read(path)?.config.status;
    let address = address.ok_or_else(|| Error::NoStatusAddress { path: path.to_owned() })?;
    let response = get(address).map_err(|source| Error::NoStatus { address, source })?;
    Ok(response.split_once("\r\n\r\n").map_or("", |(_, body)| body).to_owned())
}

/// The whole response to a GET request.
fn get(address: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(STATUS_TIMEOUT))?;
    stream.write_all(format!("GET / HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response)
}

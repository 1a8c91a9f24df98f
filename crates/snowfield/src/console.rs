//! The commands that print to the terminal: `check`, `routes`, `explain`, `status` and `watch`.

use crate::checked_config::CheckedConfig;
use crate::error::Error;
use openapi::{Route, RouteMatch, RouteTable};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;
use timing::ClassTiming;

/// Timeout for connecting to the status address.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for each read of the status.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which `watch` prints the status.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// Control sequence that clears the terminal and moves the cursor to its upper left corner.
const CLEAR_TERMINAL: &str = "\x1b[2J\x1b[H";

/// Checks a configuration file with its descriptions, and prints a summary.
///
/// # Errors
///
/// A file is missing or invalid.
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

/// Prints the routes of the descriptions that a configuration file names.
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

/// Prints the timing rules of a request, the source of each, and the timeline of its worst case.
///
/// # Errors
///
/// As [`check`], or no route matches the request.
pub fn explain(path: &Path, method: &str, target: &str) -> Result<(), Error> {
    let checked = CheckedConfig::read(path)?;
    let route = find_route(&checked.routes, method, target)?;
    println!("{} {}  class {}  from {}", route.method, route.path, route.class, route.source);
    // The class is defined, since `CheckedConfig::read` rejects routes with an undefined class.
    for timing in checked.config.timings().iter().filter(|timing| timing.class == route.class) {
        print_timing(timing);
    }
    Ok(())
}

fn find_route<'a>(routes: &'a RouteTable, method: &str, target: &str) -> Result<&'a Route, Error> {
    let path = target.to_owned();
    match routes.find(method, target) {
        Ok(RouteMatch::Route(number)) => Ok(&routes.routes()[number]),
        Ok(RouteMatch::MethodNotAllowed(allowed)) => {
            Err(Error::WrongMethod { path, allowed: allowed.to_string() })
        }
        Ok(RouteMatch::NotFound) => Err(Error::NoRoute { path }),
        Err(_) => Err(Error::InvalidPath { path }),
    }
}

fn print_timing(timing: &ClassTiming) {
    let class = format!("class {:?}", timing.class);
    let value_or = |value: Option<u64>, unit: &str, default: String| match value {
        Some(value) => format!("{value}{unit}, stated by {class}"),
        None => default,
    };
    let default_attempts = format!("{}, from limits.route_steps", timing.attempt_limit);
    let default_hedge =
        if timing.idempotent { "when it is late for its class" } else { "never: it must not run twice" };
    println!("  wanted within  {} ms, stated by {class}", timing.latency_objective_ms);
    println!("  given up after {} ms, stated by {class}", timing.deadline_ms);
    println!("  attempts       {}", value_or(timing.max_attempts.map(u64::from), "", default_attempts));
    println!(
        "  each attempt   {}",
        value_or(timing.attempt_timeout_ms, " ms", "until the client gives up".into())
    );
    println!("  second copy    {}", value_or(timing.hedge_after_ms, " ms", default_hedge.into()));
    println!("  may run again  {}", if timing.idempotent { "yes" } else { "no" });
    println!("the worst case:");
    for moment in timing.worst_case_timeline() {
        println!("  {:>6} ms  {}", moment.at_ms, moment.event);
    }
}

/// Prints the live status of the gatekeeper that serves with a configuration file.
///
/// # Errors
///
/// The file is invalid or names no status address, or nothing answers at that address.
pub fn status(path: &Path) -> Result<(), Error> {
    print!("{}", fetch_status(path)?);
    Ok(())
}

/// Prints the status every [`WATCH_INTERVAL`] until interrupted.
///
/// # Errors
///
/// As [`status`].
pub fn watch(path: &Path) -> Result<(), Error> {
    loop {
        print!("{CLEAR_TERMINAL}{}", fetch_status(path)?);
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

/// Sends a GET request and returns the whole response.
fn get(address: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.write_all(format!("GET / HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response)
}

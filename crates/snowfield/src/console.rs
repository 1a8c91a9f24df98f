//! What the terminal console shows.

use crate::appliance;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;

/// How the program is called.
pub const USAGE: &str = "\
snowfield               serve on the platform, by the file that BALANCER_CONFIG names
snowfield serve FILE    serve the OpenAPI descriptions that FILE names
snowfield check FILE    check FILE and its descriptions
snowfield routes FILE   list the routes with their units and classes
snowfield explain FILE METHOD PATH
                        tell the timing of a request and the course of its worst case
snowfield status FILE   show the live status of the program that serves FILE
snowfield watch FILE    show it anew each second
snowfield settings ...  change the plans that the gatekeepers agree on; \"snowfield settings help\" tells how
";

/// Checks a file and says what it holds.
///
/// # Errors
///
/// The text names what is missing or cannot be used.
pub fn check(path: &Path) -> Result<(), String> {
    let checked = appliance::check(path)?;
    let (file, table) = (&checked.file, &checked.table);
    println!(
        "{}: {} routes, {} lenders, {} plans; listens on {}",
        path.display(),
        table.routes().len(),
        file.tenants.len(),
        file.plans.len(),
        file.listen
    );
    Ok(())
}

/// Lists the routes.
///
/// # Errors
///
/// As [`check`].
pub fn routes(path: &Path) -> Result<(), String> {
    let checked = appliance::check(path)?;
    for route in checked.table.routes() {
        let name = route.name.as_deref().unwrap_or("-");
        println!(
            "{:7} {}  units {}  class {}  {name}  {}",
            route.method, route.path, route.units, route.class, route.source
        );
    }
    Ok(())
}

/// Tells which figures hold for a request, where each comes from, and the course of its worst case.
///
/// # Errors
///
/// As [`check`], or no route takes the request.
pub fn explain(path: &Path, method: &str, target: &str) -> Result<(), String> {
    let checked = appliance::check(path)?;
    let found =
        checked.table.find(method, target).map_err(|_| format!("{target}: no path that is served"))?;
    let number = match found {
        openapi::RouteMatch::Route(number) => number,
        openapi::RouteMatch::MethodNotAllowed(allowed) => return Err(format!("{target} takes {allowed}")),
        openapi::RouteMatch::NotFound => return Err(format!("{target}: no route")),
    };
    let route = &checked.table.routes()[number];
    let timings = checked.file.timings();
    let timing = timings.iter().find(|t| t.class == route.class).ok_or("its class is not in the file")?;
    println!("{} {}  class {}  from {}", route.method, route.path, route.class, route.source);
    let class = format!("class {:?}", timing.class);
    let stated = |value: Option<u64>, unit: &str, otherwise: String| match value {
        Some(value) => format!("{value}{unit}, stated by {class}"),
        None => otherwise,
    };
    println!("  wanted within  {} ms, stated by {class}", timing.latency_objective_ms);
    println!("  given up after {} ms, stated by {class}", timing.deadline_ms);
    let most = format!("{}, from limits.route_steps", timing.attempt_limit);
    println!("  attempts       {}", stated(timing.max_attempts.map(u64::from), "", most));
    println!(
        "  each attempt   {}",
        stated(timing.attempt_timeout_ms, " ms", "until the client gives up".into())
    );
    let copy =
        if timing.idempotent { "when it is late for its class" } else { "never: it must not run twice" };
    println!("  second copy    {}", stated(timing.hedge_after_ms, " ms", copy.into()));
    println!("  may run again  {}", if timing.idempotent { "yes" } else { "no" });
    println!("the worst case:");
    for moment in timing.worst_case_timeline() {
        println!("  {:>6} ms  {}", moment.at_ms, moment.event);
    }
    Ok(())
}

/// Asks the program that serves a file for its status.
///
/// # Errors
///
/// The file names no status address, or nobody answers there.
pub fn status(path: &Path) -> Result<(), String> {
    print!("{}", ask_status(path)?);
    Ok(())
}

/// Shows the status anew each second, until interrupted.
///
/// # Errors
///
/// As [`status`].
pub fn watch(path: &Path) -> Result<(), String> {
    loop {
        // Clears the terminal and goes to its corner.
        print!("\x1b[2J\x1b[H{}", ask_status(path)?);
        std::io::stdout().flush().map_err(|e| e.to_string())?;
        std::thread::sleep(Duration::from_secs(1));
    }
}

fn ask_status(path: &Path) -> Result<String, String> {
    let checked = appliance::check(path)?;
    let at = checked.file.status.ok_or_else(|| format!("{}: it names no status address", path.display()))?;
    let ask = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(2))?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        stream.write_all(format!("GET / HTTP/1.1\r\nHost: {at}\r\n\r\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    };
    let answer = ask().map_err(|e| format!("{at}: {e}"))?;
    Ok(answer.split_once("\r\n\r\n").map_or("", |(_, body)| body).to_owned())
}

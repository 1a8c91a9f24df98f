//! Starts a real gatekeeper with a stand-in of Consul and two stand-in backends, sends one request and prints the answer.
//! Then it serves until Ctrl-C, so that `curl` and `snowfield status` can be tried by hand.
//!
//! Everything listens on loopback. The configuration and the OpenAPI description are those of `examples/quickstart/`.

mod backend;
mod client;
mod configuration;
mod error;
mod gatekeeper;

use backend::Backend;
use clap::Parser;
use configuration::{Configuration, DEFAULT_FIRST_PORT};
use error::Error;
use gatekeeper::Gatekeeper;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use stand_in_consul::{Consul, Listener, Service};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The service in Consul whose instances are the backends, as `examples/quickstart/snowfield.toml` names it.
const SERVICE: &str = "loan-server";
const BACKEND_IDS: [&str; 2] = ["loan-server-1", "loan-server-2"];
/// The index of the endpoint list in Consul. It is higher than 10, with which the stand-in starts.
const ENDPOINT_LIST_INDEX: u64 = 11;
/// The request that is sent, and the tenant that sends it.
const PATH: &str = "/v1/loans/7/balance";
const TENANT: &str = "al-noor";
/// The time that the first answer may take. It is longer than the gatekeeper's start takes on a busy machine.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Starts a gatekeeper with stand-ins on loopback, sends one request and prints the answer.
#[derive(Debug, Parser)]
#[command(name = "quickstart")]
struct Arguments {
    /// End after the first answer instead of serving until Ctrl-C.
    #[arg(long)]
    once: bool,
    /// The first port that is tried for the gatekeeper.
    #[arg(long, default_value_t = DEFAULT_FIRST_PORT)]
    port: u16,
}

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), Error> {
    let stop_requested = stop_on_signals()?;
    let consul = start_consul()?;
    let configuration = Configuration::write(consul.address, arguments.port)?;
    let mut gatekeeper = Gatekeeper::start(&configuration)?;

    let Some(answer) = wait_for_answer(&mut gatekeeper, configuration.listen, &stop_requested)? else {
        return gatekeeper.stop();
    };
    println!("GET {PATH} as tenant {TENANT} was answered:\n\n{answer}\n");

    if !arguments.once {
        print_next_steps(&gatekeeper, &configuration);
        wait_for_signal(&mut gatekeeper, &stop_requested)?;
    }
    gatekeeper.stop()
}

/// Returns a flag that is set by SIGINT (Ctrl-C), SIGTERM and SIGHUP (the terminal is closed).
fn stop_on_signals() -> Result<Arc<AtomicBool>, Error> {
    let stop_requested = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM, SIGHUP] {
        signal_hook::flag::register(signal, stop_requested.clone()).map_err(Error::Signals)?;
    }
    Ok(stop_requested)
}

/// Starts the backends and a stand-in of Consul that lists them.
fn start_consul() -> Result<Listener, Error> {
    let mut instances = Vec::new();
    for id in BACKEND_IDS {
        let backend = Backend::start(id).map_err(Error::Backend)?;
        instances.push(Service::new(id, backend.address));
    }
    let consul = Consul::start();
    consul.set_service(ENDPOINT_LIST_INDEX, SERVICE, instances);
    Ok(consul.open())
}

/// Repeats the request until it is answered with 200, which it is once the gatekeeper listens and has the endpoint list.
/// Returns `None` if a signal ends the wait earlier.
fn wait_for_answer(
    gatekeeper: &mut Gatekeeper,
    address: SocketAddr,
    stop_requested: &AtomicBool,
) -> Result<Option<String>, Error> {
    let deadline = Instant::now() + FIRST_ANSWER_TIMEOUT;
    while !stop_requested.load(Ordering::Relaxed) {
        gatekeeper.check_running()?;
        let result = client::get(address, PATH, TENANT);
        match result {
            Ok(answer) if client::is_ok(&answer) => return Ok(Some(answer)),
            result if Instant::now() >= deadline => {
                return Err(Error::NoAnswer { last: format!("{result:?}"), log: gatekeeper.log() });
            }
            _ => thread::sleep(RETRY_INTERVAL),
        }
    }
    Ok(None)
}

fn print_next_steps(gatekeeper: &Gatekeeper, configuration: &Configuration) {
    let program = gatekeeper.program.display();
    let file = configuration.file.display();
    println!("The gatekeeper serves until Ctrl-C. In another terminal:\n");
    println!("  curl -i -H 'X-Lender: {TENANT}' http://{}{PATH}", configuration.listen);
    println!("  {program} status {file}");
    println!("  {program} watch {file}\n");
    println!("Its log is {}.", configuration.log.display());
}

/// Waits for a signal that ends the program, such as Ctrl-C. Fails if the gatekeeper ends before.
fn wait_for_signal(gatekeeper: &mut Gatekeeper, stop_requested: &AtomicBool) -> Result<(), Error> {
    while !stop_requested.load(Ordering::Relaxed) {
        gatekeeper.check_running()?;
        thread::sleep(RETRY_INTERVAL);
    }
    Ok(())
}

//! The HTTP side: a thread for each connection.

mod agent;
mod blocking;
mod kv;
mod request;
mod response;
mod services;
mod session;
mod transaction;

use crate::consul::{Fault, Listener};
use request::Request;
use response::{Response, ResponseOptions};
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::OnceLock;
use std::thread;
use std::time::Instant;

/// What a listener answers that was made to fail.
const FAULT_TEXT: &str = "told to fail";
const NO_SUCH_PAGE: &str = "no such page here";

/// Milliseconds since the first call.
fn now_ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Accepts connections in a thread, until the stand-in is stopped.
pub(crate) fn run(socket: TcpListener, listener: Listener) {
    thread::spawn(move || {
        for stream in socket.incoming().map_while(Result::ok) {
            if listener.shared.state().is_stopped {
                return;
            }
            let listener = listener.clone();
            thread::spawn(move || serve(&listener, stream));
        }
    });
}

fn serve(listener: &Listener, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = Request::read(&mut stream, &mut buffer) {
        log_request(listener, &request);
        if !answer(listener, &request, &mut stream) {
            return;
        }
    }
}

fn log_request(listener: &Listener, request: &Request) {
    let kind = request.path.split('/').take(3).collect::<Vec<_>>().join("/");
    let mut state = listener.shared.state();
    if let Some(log) = &state.request_log {
        let _ = log.send(format!("{} {}", request.method, request.target));
    }
    *state.request_counts.entry(format!("{} {kind}", request.method)).or_default() += 1;
}

/// Answers a request as far as the listener's fault lets it; tells whether the connection goes on.
fn answer(listener: &Listener, request: &Request, stream: &mut TcpStream) -> bool {
    let fault = listener.fault_for(request.method != "GET");
    match fault {
        Fault::Closed => return false,
        Fault::Silent => return wait_for_client(stream),
        Fault::Status(status) => {
            let response = Response::text(status, FAULT_TEXT);
            return response.send(stream, ResponseOptions::default()).is_ok();
        }
        Fault::None | Fault::ResponseLost | Fault::Delay(_) | Fault::ResponseTruncated => {}
    }
    let response = route(listener, request, fault);
    let options = ResponseOptions::of(&listener.shared.state(), request);
    match fault {
        Fault::ResponseLost => return wait_for_client(stream),
        Fault::ResponseTruncated => {
            let _ = response.send_half(stream, options);
            return false;
        }
        Fault::Delay(delay) => thread::sleep(delay),
        _ => {}
    }
    response.send(stream, options).is_ok()
}

/// Waits until the client gives up. The connection does not go on.
fn wait_for_client(stream: &mut TcpStream) -> bool {
    let _ = stream.read(&mut [0]);
    false
}

fn route(listener: &Listener, request: &Request, fault: Fault) -> Response {
    let parts: Vec<&str> = request.path.trim_start_matches('/').splitn(3, '/').collect();
    if listener.shared.state().token.as_ref().is_some_and(|token| *token != request.token) {
        return Response::text(403, "Permission denied");
    }
    match (request.method.as_str(), &parts[..]) {
        (_, ["v1", "status/leader"] | ["v1", "status", "leader"]) => {
            Response::text(200, "\"127.0.0.1:8300\"")
        }
        ("GET", ["v1", "kv", key]) => kv::read(listener, request, key, fault),
        (_, ["v1", "kv", key]) => kv::write(listener, request, key),
        ("PUT", ["v1", "txn"]) => transaction::apply(listener, request),
        ("PUT", ["v1", "session", page]) => session::serve(listener, request, page),
        ("PUT", ["v1", "agent", page]) => agent::serve(listener, request, page),
        ("GET", ["v1", "health", page]) => match page.strip_prefix("service/") {
            Some(name) => services::health(listener, request, name, fault),
            None => Response::text(404, NO_SUCH_PAGE),
        },
        ("GET", ["v1", "catalog", page]) => match page.strip_prefix("service/") {
            Some(name) => services::catalog(listener, request, name, fault),
            None => Response::text(404, NO_SUCH_PAGE),
        },
        _ => Response::text(404, NO_SUCH_PAGE),
    }
}

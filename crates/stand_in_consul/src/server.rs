//! The HTTP server of a listener, with a thread for each connection.

mod agent;
mod blocking;
mod clock;
mod kv;
mod request;
mod response;
mod router;
mod services;
mod session;
mod transaction;

use crate::fault::Fault;
use crate::listener::Listener;
use request::Request;
use response::{Response, ResponseOptions};
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::ops::ControlFlow;
use std::thread;

/// Number of path segments by which requests are counted, including the empty one before the first slash.
const COUNTED_SEGMENTS: usize = 3;

/// Whether the connection stays open after a request.
type Connection = ControlFlow<()>;

/// Starts a thread that accepts connections until the stand-in is stopped.
pub(crate) fn spawn(socket: TcpListener, listener: Listener) {
    thread::spawn(move || {
        for stream in socket.incoming().map_while(Result::ok) {
            if listener.state().is_stopped {
                return;
            }
            let listener = listener.clone();
            thread::spawn(move || serve(&listener, stream));
        }
    });
}

fn serve(listener: &Listener, mut stream: TcpStream) {
    // A failure is ignored: without the option, responses are only slower.
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = Request::read(&mut stream, &mut buffer) {
        log_request(listener, &request);
        if respond(listener, &request, &mut stream).is_break() {
            return;
        }
    }
}

fn log_request(listener: &Listener, request: &Request) {
    let path_prefix = request.path.split('/').take(COUNTED_SEGMENTS).collect::<Vec<_>>().join("/");
    let mut state = listener.state();
    if let Some(log) = &state.request_log {
        // The receiver may have been dropped.
        let _ = log.send(format!("{} {}", request.method, request.target));
    }
    *state.request_counts.entry(format!("{} {path_prefix}", request.method)).or_default() += 1;
}

/// Applies and answers a request, unless the fault of the listener prevents one or both.
fn respond(listener: &Listener, request: &Request, stream: &mut TcpStream) -> Connection {
    let fault = if request.is_write() { listener.take_write_fault() } else { listener.read_fault() };
    match fault {
        Fault::Closed => return Connection::Break(()),
        Fault::Silent => return wait_for_client(stream),
        Fault::Status(status) => {
            let response = Response::injected_fault(status);
            return send(&response, ResponseOptions::default(), stream);
        }
        Fault::None | Fault::ResponseLost | Fault::Delay(_) | Fault::ResponseTruncated => {}
    }
    let response = router::route(listener, request, fault);
    let options = ResponseOptions::of(&listener.state(), request);
    match fault {
        Fault::ResponseLost => return wait_for_client(stream),
        Fault::ResponseTruncated => {
            // The connection is closed whether or not the write succeeds.
            let _ = response.send_half(stream, options);
            return Connection::Break(());
        }
        Fault::Delay(delay) => thread::sleep(delay),
        _ => {}
    }
    send(&response, options, stream)
}

fn send(response: &Response, options: ResponseOptions, stream: &mut TcpStream) -> Connection {
    match response.send(stream, options) {
        Ok(()) => Connection::Continue(()),
        Err(_) => Connection::Break(()),
    }
}

/// Waits until the client closes the connection or sends another request, and ends the connection.
fn wait_for_client(stream: &mut TcpStream) -> Connection {
    // Data, the end of the stream and an error all end the wait.
    let _ = stream.read(&mut [0]);
    Connection::Break(())
}

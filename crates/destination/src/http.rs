//! The HTTP/1.1 protocol of backends.

use crate::{Parsed, Protocol};
use ::http::{ParsedResponse, Request, Response};
use exchange::AttemptEnd;
use policy::{BackendId, Micros, Outcome};
use std::net::SocketAddr;

/// The lowest status that counts as a failure of the backend.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Callback that gets the id of a backend that has served an attempt.
type OnServed = Box<dyn Fn(BackendId) + Send + Sync>;

/// HTTP/1.1. A response with a status of 500 or above counts as a failure of its backend: the request may have run, and is
/// retried at another backend if it is idempotent.
#[derive(Default)]
pub struct HttpProtocol {
    /// Callback for each backend that has served an attempt; `None` if the caller does not need it.
    pub on_served: Option<OnServed>,
}

impl Protocol for HttpProtocol {
    type Payload = Request;
    type Answer = Response;

    fn encode(&self, request: &Request, _to: SocketAddr, _time_left: Micros, out: &mut Vec<u8>) {
        request.encode(out);
    }

    fn on_served(&self, backend: BackendId) {
        if let Some(callback) = &self.on_served {
            callback(backend);
        }
    }

    fn parse(&self, request: &Request, buffer: &[u8], is_end: bool) -> Parsed<Response> {
        match ::http::parse_response(buffer, request.is_head, is_end) {
            Ok(Some(ParsedResponse { response, consumed, keep_alive })) => {
                let is_served = response.status < MIN_SERVER_ERROR_STATUS;
                let end = AttemptEnd {
                    outcome: if is_served { Outcome::Ok } else { Outcome::Error },
                    answer: is_served.then_some(response),
                    load: Vec::new(),
                    is_streaming: false,
                };
                Parsed::Complete { consumed, keep_alive, end }
            }
            Ok(None) => Parsed::Incomplete,
            Err(::http::HttpError::Malformed(message)) => Parsed::Malformed(message.text()),
            Err(_) => Parsed::Malformed("an HTTP response exceeds a size limit"),
        }
    }
}

//! Destinations that speak HTTP/1.1.

use crate::{Protocol, Reading};
use ::http::{Request, Response};
use exchange::AttemptEnd;
use policy::{BackendId, Micros, Outcome};
use std::net::SocketAddr;

/// Speaks HTTP/1.1 with destinations. An answer with a status of 500 or above is a failure of its destination: it may
/// have run, and a class that is safe to repeat is tried elsewhere.
#[derive(Default)]
pub struct HttpDestination {
    /// Told of each destination that has answered well.
    pub on_served: Option<Box<dyn Fn(BackendId) + Send + Sync>>,
}

impl Protocol for HttpDestination {
    type Query = Request;
    type Answer = Response;

    fn write(&self, query: &Request, _to: SocketAddr, _time_left: Micros, out: &mut Vec<u8>) {
        query.encode(out);
    }

    fn served(&self, backend: BackendId) {
        if let Some(told) = &self.on_served {
            told(backend);
        }
    }

    fn read(&self, query: &Request, buffer: &[u8], end: bool) -> Reading<Response> {
        match ::http::parse_response(buffer, query.is_head, end) {
            Ok(Some((answer, used, keep))) => {
                let served = answer.status < 500;
                let end = AttemptEnd {
                    outcome: if served { Outcome::Ok } else { Outcome::Error },
                    answer: served.then_some(answer),
                    load: Vec::new(),
                    is_streaming: false,
                };
                Reading::Whole { used, keep, end }
            }
            Ok(None) => Reading::More,
            Err(::http::HttpError::Malformed(text)) => Reading::Malformed(text),
            Err(_) => Reading::Malformed("an answer passes a limit"),
        }
    }
}

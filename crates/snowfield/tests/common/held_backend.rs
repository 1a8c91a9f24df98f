//! A backend that holds one request until the test releases it.

use super::*;
use std::sync::atomic::AtomicBool;

/// A backend that holds one request until the test releases it.
pub struct HeldBackend {
    pub address: SocketAddr,
    pub events: Receiver<BackendEvent<Vec<String>>>,
    /// Releases the reply to the held request.
    pub release: Sender<()>,
}

/// A backend that holds its first request and replies to the others at once.
pub fn backend_holding_first_request() -> HeldBackend {
    let is_first = AtomicBool::new(true);
    hold(move |_| is_first.swap(false, Ordering::Relaxed), reply_with_id)
}

/// A backend that holds the request with this id, which may come once only, and handles the others by `others`.
pub fn backend_holding_request(number: u32, others: fn(&[String]) -> Behaviour) -> HeldBackend {
    hold(move |words| words[2] == request_id(number), others)
}

/// Replies with the id that the request came with.
pub fn reply_with_id(words: &[String]) -> Behaviour {
    Behaviour::Reply(backend_reply(&words[2]))
}

fn hold(
    is_held: impl Fn(&[String]) -> bool + Send + Sync + 'static,
    others: fn(&[String]) -> Behaviour,
) -> HeldBackend {
    let (release, released) = channel();
    let released = Mutex::new(Some(released));
    let (address, events) = backend(read_resp_command, move |words| {
        if !is_held(words) {
            return others(words);
        }
        let released = released.lock().expect("no stand-in panics").take().expect("one held request");
        Behaviour::ReplyAfter(released, backend_reply(&words[2]))
    });
    HeldBackend { address, events, release }
}

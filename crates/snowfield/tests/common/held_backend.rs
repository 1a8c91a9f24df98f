//! A stand-in for a backend that delays one reply until the test releases it.

use super::*;
use std::sync::atomic::AtomicBool;

/// A backend that holds one request until the test releases it.
pub struct HeldBackend {
    pub address: SocketAddr,
    pub events: Receiver<BackendEvent<Vec<String>>>,
    /// Releases the reply to the held request.
    pub release: Sender<()>,
}

/// Starts a backend that holds its first request and replies to the others at once.
pub fn start_backend_holding_first_request() -> HeldBackend {
    let is_first = AtomicBool::new(true);
    start_held_backend(move |_| is_first.swap(false, Ordering::Relaxed), reply_with_id)
}

/// Starts a backend that holds the request with this number, which may arrive only once, and reacts to the others by `others`.
pub fn start_backend_holding_request(number: u32, others: fn(&[String]) -> Behaviour) -> HeldBackend {
    start_held_backend(move |words| words[2] == request_id(number), others)
}

/// Returns the reaction of a backend that replies with the request's id.
pub fn reply_with_id(words: &[String]) -> Behaviour {
    Behaviour::Reply(backend_reply(&words[2]))
}

fn start_held_backend(
    is_held: impl Fn(&[String]) -> bool + Send + Sync + 'static,
    others: fn(&[String]) -> Behaviour,
) -> HeldBackend {
    let (release, released) = channel();
    let released = Mutex::new(Some(released));
    let (address, events) = start_backend(read_resp_command, move |words| {
        if !is_held(words) {
            return others(words);
        }
        let released =
            released.lock().expect("the lock is not poisoned").take().expect("only one request is held");
        Behaviour::ReplyAfter(released, backend_reply(&words[2]))
    });
    HeldBackend { address, events, release }
}

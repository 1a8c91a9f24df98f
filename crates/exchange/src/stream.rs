//! An answer that is passed on as it comes: a bounded window of bytes between a destination's connection and a client connection.
//! Neither side waits in here; each is told when it can go on.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// The most bytes of one window, and the fewest: a step is worth its cost from there on.
const LARGEST_WINDOW: usize = 64 * 1024;
const SMALLEST_WINDOW: usize = 8 * 1024;

/// Called when the other side has done something. It may be called under a lock of the caller's, and must not wait.
pub type Told = Box<dyn Fn() + Send + Sync>;

/// What a front gets as a served answer.
#[derive(Debug)]
pub enum Value {
    /// All bytes.
    Whole(Vec<u8>),
    /// The bytes as they come.
    Stream(StreamOut),
}

/// The bytes that all windows of a process may hold together.
#[derive(Debug)]
pub struct Budget {
    bytes: usize,
    streams: AtomicUsize,
}

impl Budget {
    /// A budget of so many bytes.
    pub fn new(bytes: usize) -> Arc<Self> {
        Arc::new(Self { bytes, streams: AtomicUsize::new(0) })
    }

    /// Each stream's part of it.
    fn window(&self) -> usize {
        let streams = self.streams.load(Ordering::Relaxed).max(1);
        (self.bytes / streams).clamp(SMALLEST_WINDOW, LARGEST_WINDOW)
    }

    /// Streams that are open.
    pub fn streams(&self) -> usize {
        self.streams.load(Ordering::Relaxed)
    }
}

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    /// Set once: whether the answer came whole.
    ended: Option<bool>,
    /// The front wants no more.
    left: bool,
    told: Option<Arc<dyn Fn() + Send + Sync>>,
}

struct Shared {
    state: Mutex<State>,
    budget: Arc<Budget>,
    room: Told,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // Nothing that can panic runs under this lock.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn tell(&self) {
        let told = self.lock().told.clone();
        if let Some(told) = told {
            told();
        }
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.budget.streams.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The destination's end. Dropped before [`StreamIn::finish`], the answer counts as broken off.
pub struct StreamIn(Arc<Shared>);

/// The front's end. Dropped, the destination hears that nobody wants the rest.
pub struct StreamOut(Arc<Shared>);

impl std::fmt::Debug for StreamOut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("StreamOut")
    }
}

/// What the front finds.
#[derive(Debug, PartialEq, Eq)]
pub enum Taken {
    /// These bytes.
    Bytes(Vec<u8>),
    /// None yet.
    Nothing,
    /// All has come.
    End,
    /// No more comes, and not all has come.
    Broken,
}

/// Opens a stream. `room` is called when there is room again, or nobody wants the rest.
pub fn stream(budget: &Arc<Budget>, room: Told) -> (StreamIn, StreamOut) {
    budget.streams.fetch_add(1, Ordering::Relaxed);
    let shared = Arc::new(Shared { state: Mutex::default(), budget: budget.clone(), room });
    (StreamIn(shared.clone()), StreamOut(shared))
}

impl StreamIn {
    /// How many bytes there is room for.
    pub fn room(&self) -> usize {
        self.0.budget.window().saturating_sub(self.0.lock().bytes.len())
    }

    /// Whether nobody wants the rest.
    pub fn is_left(&self) -> bool {
        self.0.lock().left
    }

    /// Adds bytes, also beyond the window: the caller keeps to the room that it was told.
    pub fn push(&self, bytes: &[u8]) {
        self.0.lock().bytes.extend_from_slice(bytes);
        self.0.tell();
    }

    /// The answer is whole.
    pub fn finish(self) {
        self.0.lock().ended = Some(true);
    }
}

impl Drop for StreamIn {
    fn drop(&mut self) {
        self.0.lock().ended.get_or_insert(false);
        self.0.tell();
    }
}

impl StreamOut {
    /// Names who is told when there are bytes, or the end.
    pub fn tell(&self, told: Told) {
        self.0.lock().told = Some(told.into());
    }

    /// Takes what is there, at most so many bytes.
    pub fn take(&self, most: usize) -> Taken {
        let mut state = self.0.lock();
        if state.bytes.is_empty() {
            return match state.ended {
                None => Taken::Nothing,
                Some(true) => Taken::End,
                Some(false) => Taken::Broken,
            };
        }
        let most = state.bytes.len().min(most);
        let rest = state.bytes.split_off(most);
        let taken = std::mem::replace(&mut state.bytes, rest);
        drop(state);
        (self.0.room)();
        Taken::Bytes(taken)
    }
}

impl Drop for StreamOut {
    fn drop(&mut self) {
        {
            let mut state = self.0.lock();
            (state.left, state.told) = (true, None);
            state.bytes = Vec::new();
        }
        (self.0.room)();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::mpsc::channel;

    fn open(budget: &Arc<Budget>) -> (StreamIn, StreamOut, std::sync::mpsc::Receiver<()>) {
        let (tell, told) = channel();
        let (write, read) = stream(
            budget,
            Box::new(move || {
                let _ = tell.send(());
            }),
        );
        (write, read, told)
    }

    #[test]
    fn bytes_come_out_as_they_went_in_and_then_the_end() {
        let budget = Budget::new(1 << 20);
        let (write, read, room) = open(&budget);
        let (tell, bytes) = channel();
        read.tell(Box::new(move || {
            let _ = tell.send(());
        }));
        assert_eq!(read.take(9), Taken::Nothing);
        write.push(b"abcde");
        bytes.try_recv().expect("the front is told");
        assert_eq!(write.room(), LARGEST_WINDOW - 5);
        assert_eq!(read.take(3), Taken::Bytes(b"abc".to_vec()));
        room.try_recv().expect("the destination is told");
        write.push(b"f");
        write.finish();
        assert_eq!(read.take(9), Taken::Bytes(b"def".to_vec()));
        assert_eq!(read.take(9), Taken::End);
    }

    #[test]
    fn what_breaks_off_is_told_after_its_bytes_and_who_leaves_is_heard() {
        let budget = Budget::new(1 << 20);
        let (write, read, room) = open(&budget);
        write.push(b"ab");
        drop(write);
        assert_eq!(read.take(9), Taken::Bytes(b"ab".to_vec()));
        assert_eq!(read.take(9), Taken::Broken);
        drop(read);
        let (write, read, _) = open(&budget);
        drop(read);
        assert!(write.is_left());
        room.try_recv().expect("the destination is told");
    }

    #[test]
    fn windows_share_the_budget_and_none_is_starved() {
        let budget = Budget::new(10 * SMALLEST_WINDOW);
        let one = open(&budget);
        assert_eq!(one.0.room(), LARGEST_WINDOW);
        let many: Vec<_> = (0..4).map(|_| open(&budget)).collect();
        assert_eq!(one.0.room(), 2 * SMALLEST_WINDOW);
        let more: Vec<_> = (0..400).map(|_| open(&budget)).collect();
        assert!(more.iter().all(|s| s.0.room() == SMALLEST_WINDOW));
        drop((many, more));
        assert_eq!((budget.streams(), one.0.room()), (1, LARGEST_WINDOW));
    }
}

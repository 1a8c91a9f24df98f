//! An answer that is passed on while it arrives: a bounded window of bytes between a backend's connection and a client connection.
//! Neither side waits in here; each is notified when it can continue.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// The most and the fewest bytes of one window: below that a step is not worth its cost.
const LARGEST_WINDOW: usize = 64 * 1024;
const SMALLEST_WINDOW: usize = 8 * 1024;

/// Called when the other side has done something, possibly under a lock of the caller's. It must not block.
pub type Notify = Box<dyn Fn() + Send + Sync>;

/// The body of a served answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// All bytes.
    Complete(Vec<u8>),
    /// The bytes as they arrive.
    Stream(StreamReader),
}

/// The bytes that all windows of a process may hold together.
#[derive(Debug)]
pub struct StreamBudget {
    bytes: usize,
    open_streams: AtomicUsize,
}

impl StreamBudget {
    /// A budget of so many bytes.
    pub fn new(bytes: usize) -> Arc<Self> {
        Arc::new(Self { bytes, open_streams: AtomicUsize::new(0) })
    }

    /// Each stream's part of it in bytes.
    fn window(&self) -> usize {
        let streams = self.open_streams().max(1);
        (self.bytes / streams).clamp(SMALLEST_WINDOW, LARGEST_WINDOW)
    }

    /// Streams that are open.
    pub fn open_streams(&self) -> usize {
        self.open_streams.load(Ordering::Relaxed)
    }
}

/// How the writer ended.
#[derive(Clone, Copy)]
enum WriterEnd {
    Finished,
    Dropped,
}

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    /// Set once.
    writer_end: Option<WriterEnd>,
    reader_is_gone: bool,
    notify_reader: Option<Arc<dyn Fn() + Send + Sync>>,
}

struct Shared {
    state: Mutex<State>,
    budget: Arc<StreamBudget>,
    notify_writer: Notify,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // Nothing that can panic runs under this lock.
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn notify_reader(&self) {
        let notify = self.lock().notify_reader.clone();
        if let Some(notify) = notify {
            notify();
        }
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.budget.open_streams.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The backend's end. Dropped before [`StreamWriter::finish`], the answer counts as broken off.
pub struct StreamWriter(Arc<Shared>);

/// The front's end. Dropped, the writer is notified that nobody wants the rest.
pub struct StreamReader(Arc<Shared>);

impl std::fmt::Debug for StreamReader {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("StreamReader")
    }
}

/// What a reader gets.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// These bytes.
    Bytes(Vec<u8>),
    /// None yet.
    Pending,
    /// The answer is complete.
    End,
    /// No more arrives, and the answer is not complete.
    Broken,
}

/// Opens a stream. `notify_writer` is called when there is capacity again, or when nobody wants the rest.
pub fn open_stream(budget: &Arc<StreamBudget>, notify_writer: Notify) -> (StreamWriter, StreamReader) {
    budget.open_streams.fetch_add(1, Ordering::Relaxed);
    let shared = Arc::new(Shared { state: Mutex::default(), budget: budget.clone(), notify_writer });
    (StreamWriter(shared.clone()), StreamReader(shared))
}

impl StreamWriter {
    /// How many bytes may be written now.
    pub fn capacity(&self) -> usize {
        self.0.budget.window().saturating_sub(self.0.lock().bytes.len())
    }

    /// Whether nobody wants the rest.
    pub fn reader_is_gone(&self) -> bool {
        self.0.lock().reader_is_gone
    }

    /// Adds bytes, also beyond the window: the caller keeps to the capacity that it was told.
    pub fn write(&self, bytes: &[u8]) {
        self.0.lock().bytes.extend_from_slice(bytes);
        self.0.notify_reader();
    }

    /// The answer is complete.
    pub fn finish(self) {
        self.0.lock().writer_end = Some(WriterEnd::Finished);
    }
}

impl Drop for StreamWriter {
    fn drop(&mut self) {
        self.0.lock().writer_end.get_or_insert(WriterEnd::Dropped);
        self.0.notify_reader();
    }
}

impl StreamReader {
    /// Sets who is notified when there are bytes, or the end.
    pub fn notify_with(&self, notify: Notify) {
        self.0.lock().notify_reader = Some(notify.into());
    }

    /// Takes what has arrived, at most so many bytes.
    pub fn read(&self, max_bytes: usize) -> ReadResult {
        let mut state = self.0.lock();
        if state.bytes.is_empty() {
            return match state.writer_end {
                None => ReadResult::Pending,
                Some(WriterEnd::Finished) => ReadResult::End,
                Some(WriterEnd::Dropped) => ReadResult::Broken,
            };
        }
        let count = state.bytes.len().min(max_bytes);
        let rest = state.bytes.split_off(count);
        let read = std::mem::replace(&mut state.bytes, rest);
        drop(state);
        (self.0.notify_writer)();
        ReadResult::Bytes(read)
    }
}

impl Drop for StreamReader {
    fn drop(&mut self) {
        {
            let mut state = self.0.lock();
            state.reader_is_gone = true;
            state.notify_reader = None;
            state.bytes = Vec::new();
        }
        (self.0.notify_writer)();
    }
}

#[cfg(test)]
mod tests;

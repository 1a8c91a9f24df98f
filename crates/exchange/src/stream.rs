//! An answer that is passed on while it arrives: a bounded buffer between a backend's connection and a client connection. No call
//! blocks; each side is notified when it can continue.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

#[cfg(test)]
mod tests;

/// Maximum bytes of one stream's window.
const MAX_WINDOW: usize = 64 * 1024;
/// Minimum bytes of one stream's window: a smaller one costs too many reads and writes.
const MIN_WINDOW: usize = 8 * 1024;

/// Called when the other side has made progress, possibly while the caller holds a lock. It must not block.
pub type Notify = Box<dyn Fn() + Send + Sync>;

/// The body of a served answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// All bytes of it.
    Complete(Vec<u8>),
    /// The bytes as they arrive.
    Stream(StreamReader),
}

/// The buffer space that all streams of a process share.
#[derive(Debug)]
pub struct StreamBudget {
    bytes: usize,
    open_streams: AtomicUsize,
}

impl StreamBudget {
    /// Creates a budget of this many bytes.
    pub fn new(bytes: usize) -> Arc<Self> {
        Arc::new(Self { bytes, open_streams: AtomicUsize::new(0) })
    }

    /// The window of each stream in bytes.
    fn window(&self) -> usize {
        let streams = self.open_streams().max(1);
        (self.bytes / streams).clamp(MIN_WINDOW, MAX_WINDOW)
    }

    /// The number of open streams.
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

/// The backend's end of a stream. If it is dropped before [`StreamWriter::finish`], the answer is broken.
pub struct StreamWriter(Arc<Shared>);

/// The front's end of a stream. If it is dropped, the writer is notified that the rest is not wanted.
pub struct StreamReader(Arc<Shared>);

impl std::fmt::Debug for StreamReader {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("StreamReader")
    }
}

/// The result of a read.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// These bytes.
    Bytes(Vec<u8>),
    /// No bytes have arrived yet.
    Pending,
    /// The answer is complete.
    End,
    /// The answer is not complete, and no more of it arrives.
    Broken,
}

/// Opens a stream. `notify_writer` is called when there is capacity again, and when the reader is dropped.
pub fn open_stream(budget: &Arc<StreamBudget>, notify_writer: Notify) -> (StreamWriter, StreamReader) {
    budget.open_streams.fetch_add(1, Ordering::Relaxed);
    let shared = Arc::new(Shared { state: Mutex::default(), budget: budget.clone(), notify_writer });
    (StreamWriter(shared.clone()), StreamReader(shared))
}

impl StreamWriter {
    /// The number of bytes that may be written now.
    pub fn capacity(&self) -> usize {
        self.0.budget.window().saturating_sub(self.0.lock().bytes.len())
    }

    /// Whether the reader was dropped, so that the rest is not wanted.
    pub fn reader_is_gone(&self) -> bool {
        self.0.lock().reader_is_gone
    }

    /// Appends bytes. The caller must keep to the capacity, which this does not check.
    pub fn write(&self, bytes: &[u8]) {
        self.0.lock().bytes.extend_from_slice(bytes);
        self.0.notify_reader();
    }

    /// Completes the answer.
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
    /// Sets the callback for new bytes and for the end of the stream.
    pub fn notify_with(&self, notify: Notify) {
        self.0.lock().notify_reader = Some(notify.into());
    }

    /// Takes up to `max_bytes` bytes that have arrived.
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

//! Streamed answers: a bounded buffer between a backend's connection and a client's connection forwards an answer while it
//! arrives. No call blocks; each side is notified when it can continue.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

#[cfg(test)]
mod tests;

/// Maximum size of a stream's window in bytes.
const MAX_WINDOW_BYTES: usize = 64 * 1024;
/// Minimum size of a stream's window in bytes. A smaller window would need too many reads and writes.
const MIN_WINDOW_BYTES: usize = 8 * 1024;

/// The callback that is called when the other side of a stream has made progress, possibly under a lock of that side. The
/// callback must not block.
pub type Notify = Box<dyn Fn() + Send + Sync>;

/// The body of a served answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// The complete body.
    Complete(Vec<u8>),
    /// A body that is still arriving, read from this stream.
    Stream(StreamReader),
}

/// The buffer space that the streams of a process share. Each stream's window is an equal share of it, within limits.
#[derive(Debug)]
pub struct StreamBudget {
    total_bytes: usize,
    open_streams: AtomicUsize,
}

impl StreamBudget {
    /// Creates a budget of `total_bytes`. Many streams together may exceed the budget, since each has a minimum window.
    pub fn new(total_bytes: usize) -> Arc<Self> {
        Arc::new(Self { total_bytes, open_streams: AtomicUsize::new(0) })
    }

    /// The window of each stream: the maximum number of bytes that are buffered.
    fn window(&self) -> usize {
        let streams = self.open_streams().max(1);
        (self.total_bytes / streams).clamp(MIN_WINDOW_BYTES, MAX_WINDOW_BYTES)
    }

    /// The number of streams of which at least one end exists.
    pub fn open_streams(&self) -> usize {
        self.open_streams.load(Ordering::Relaxed)
    }
}

/// How the backend side ended the stream.
#[derive(Clone, Copy)]
enum WriterEnd {
    Finished,
    Dropped,
}

#[derive(Default)]
struct StreamState {
    buffered_bytes: Vec<u8>,
    /// How the backend side ended the stream; `None` while the writer exists.
    writer_end: Option<WriterEnd>,
    reader_is_gone: bool,
    notify_reader: Option<Arc<dyn Fn() + Send + Sync>>,
}

struct SharedStream {
    state: Mutex<StreamState>,
    budget: Arc<StreamBudget>,
    notify_writer: Notify,
}

impl SharedStream {
    fn lock(&self) -> MutexGuard<'_, StreamState> {
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

impl Drop for SharedStream {
    fn drop(&mut self) {
        self.budget.open_streams.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The backend's end of a stream. If it is dropped without [`StreamWriter::finish`], the reader gets [`ReadResult::Broken`].
pub struct StreamWriter(Arc<SharedStream>);

/// The front's end of a stream. If it is dropped, the writer is notified that the rest of the answer is not wanted.
pub struct StreamReader(Arc<SharedStream>);

impl std::fmt::Debug for StreamReader {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("StreamReader")
    }
}

/// The result of [`StreamReader::read`]: bytes of a streamed answer, or why none are available.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// The next bytes of the answer.
    Bytes(Vec<u8>),
    /// No bytes are available now, but more may arrive.
    Pending,
    /// The answer is complete, and all of it has been read.
    End,
    /// The answer ended before it was complete, and all bytes that arrived have been read.
    Broken,
}

/// Opens a stream. `notify_writer` is called when the reader has taken bytes, and when it is dropped.
pub fn open_stream(budget: &Arc<StreamBudget>, notify_writer: Notify) -> (StreamWriter, StreamReader) {
    budget.open_streams.fetch_add(1, Ordering::Relaxed);
    let shared = Arc::new(SharedStream { state: Mutex::default(), budget: budget.clone(), notify_writer });
    (StreamWriter(shared.clone()), StreamReader(shared))
}

impl StreamWriter {
    /// The number of bytes that fit into the stream's window now; 0 if the window is full.
    pub fn capacity(&self) -> usize {
        self.0.budget.window().saturating_sub(self.0.lock().buffered_bytes.len())
    }

    /// Whether the reader was dropped, so that the rest of the answer is not wanted.
    pub fn reader_is_gone(&self) -> bool {
        self.0.lock().reader_is_gone
    }

    /// Appends bytes to the answer. The bytes must fit into [`StreamWriter::capacity`], which is not checked here.
    pub fn write(&self, bytes: &[u8]) {
        self.0.lock().buffered_bytes.extend_from_slice(bytes);
        self.0.notify_reader();
    }

    /// Marks the answer as complete: after the buffered bytes, the reader gets [`ReadResult::End`].
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
    /// Sets the callback that is called when bytes arrive and when the writer is dropped.
    pub fn notify_with(&self, notify: Notify) {
        self.0.lock().notify_reader = Some(notify.into());
    }

    /// Removes and returns up to `max_bytes` bytes that have arrived.
    pub fn read(&self, max_bytes: usize) -> ReadResult {
        let mut state = self.0.lock();
        if state.buffered_bytes.is_empty() {
            return match state.writer_end {
                None => ReadResult::Pending,
                Some(WriterEnd::Finished) => ReadResult::End,
                Some(WriterEnd::Dropped) => ReadResult::Broken,
            };
        }
        let count = state.buffered_bytes.len().min(max_bytes);
        let rest = state.buffered_bytes.split_off(count);
        let read = std::mem::replace(&mut state.buffered_bytes, rest);
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
            state.buffered_bytes = Vec::new();
        }
        (self.0.notify_writer)();
    }
}

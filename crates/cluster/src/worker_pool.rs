//! A pool of worker threads with a bounded queue.

use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// The maximum number of tasks that wait for a worker thread.
const QUEUE_CAPACITY: usize = 1_024;

/// The queue of a worker pool. The threads end when all clones of the queue are dropped.
#[derive(Clone, Debug)]
pub(crate) struct TaskQueue<T>(SyncSender<T>);

impl<T: Send + 'static> TaskQueue<T> {
    /// Starts a pool of threads with this name, which pass each queued task to `work`.
    pub(crate) fn start(name: &str, thread_count: usize, work: impl Fn(T) + Send + Sync + 'static) -> Self {
        let (sender, receiver) = sync_channel::<T>(QUEUE_CAPACITY);
        let (receiver, work) = (Arc::new(Mutex::new(receiver)), Arc::new(work));
        for _ in 0..thread_count {
            let (receiver, work) = (receiver.clone(), work.clone());
            let run = move || {
                while let Some(task) = next_task(&receiver) {
                    work(task);
                }
            };
            if let Err(error) = thread::Builder::new().name(name.into()).spawn(run) {
                tracing::warn!(%error, pool = name, "worker thread could not be started");
            }
        }
        Self(sender)
    }
}

impl<T> TaskQueue<T> {
    /// Queues a task. Returns the task as an error if the queue is full or no thread is left.
    pub(crate) fn offer(&self, task: T) -> Result<(), T> {
        self.0.try_send(task).map_err(|error| match error {
            TrySendError::Full(task) | TrySendError::Disconnected(task) => task,
        })
    }
}

fn next_task<T>(receiver: &Mutex<Receiver<T>>) -> Option<T> {
    receiver.lock().unwrap_or_else(PoisonError::into_inner).recv().ok()
}

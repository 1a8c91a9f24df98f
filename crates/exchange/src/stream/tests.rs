//! Streams between a writer and a reader.

use super::*;
use std::sync::mpsc::{Receiver, channel};

/// A callback, and a channel that receives a message for each call of the callback.
fn notifications() -> (Notify, Receiver<()>) {
    let (sender, receiver) = channel();
    let notify = move || {
        let _ = sender.send(());
    };
    (Box::new(notify), receiver)
}

/// Both ends of a stream, and the notifications of the writer.
struct Stream {
    writer: StreamWriter,
    reader: StreamReader,
    writer_notifications: Receiver<()>,
}

fn open(budget: &Arc<StreamBudget>) -> Stream {
    let (notify, writer_notifications) = notifications();
    let (writer, reader) = open_stream(budget, notify);
    Stream { writer, reader, writer_notifications }
}

#[test]
fn bytes_are_read_in_the_order_written_and_then_the_end() {
    let budget = StreamBudget::new(1 << 20);
    let Stream { writer, reader, writer_notifications } = open(&budget);
    let (notify, reader_notifications) = notifications();
    reader.notify_with(notify);
    assert_eq!(reader.read(9), ReadResult::Pending);
    writer.write(b"abcde");
    reader_notifications.try_recv().expect("the reader is notified");
    assert_eq!(writer.capacity(), MAX_WINDOW_BYTES - 5);
    assert_eq!(reader.read(3), ReadResult::Bytes(b"abc".to_vec()));
    writer_notifications.try_recv().expect("the writer is notified");
    writer.write(b"f");
    writer.finish();
    assert_eq!(reader.read(9), ReadResult::Bytes(b"def".to_vec()));
    assert_eq!(reader.read(9), ReadResult::End);
}

#[test]
fn a_dropped_writer_breaks_the_answer_after_its_bytes_and_a_dropped_reader_notifies_the_writer() {
    let budget = StreamBudget::new(1 << 20);
    let Stream { writer, reader, writer_notifications } = open(&budget);
    writer.write(b"ab");
    drop(writer);
    assert_eq!(reader.read(9), ReadResult::Bytes(b"ab".to_vec()));
    assert_eq!(reader.read(9), ReadResult::Broken);
    while writer_notifications.try_recv().is_ok() {}
    drop(reader);
    writer_notifications.try_recv().expect("the writer is notified");
    let Stream { writer, reader, .. } = open(&budget);
    drop(reader);
    assert!(writer.reader_is_gone());
}

#[test]
fn windows_share_the_budget_down_to_the_minimum() {
    let budget = StreamBudget::new(10 * MIN_WINDOW_BYTES);
    let stream = open(&budget);
    assert_eq!(stream.writer.capacity(), MAX_WINDOW_BYTES);
    let four_more: Vec<_> = (0..4).map(|_| open(&budget)).collect();
    assert_eq!(stream.writer.capacity(), 2 * MIN_WINDOW_BYTES);
    let many_more: Vec<_> = (0..400).map(|_| open(&budget)).collect();
    assert!(many_more.iter().all(|other| other.writer.capacity() == MIN_WINDOW_BYTES));
    drop((four_more, many_more));
    assert_eq!((budget.open_streams(), stream.writer.capacity()), (1, MAX_WINDOW_BYTES));
}

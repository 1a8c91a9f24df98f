//! Streams between the two sides.

use super::*;
use std::sync::mpsc::channel;

fn open(budget: &Arc<StreamBudget>) -> (StreamWriter, StreamReader, std::sync::mpsc::Receiver<()>) {
    let (tell, told) = channel();
    let (write, read) = open_stream(
        budget,
        Box::new(move || {
            let _ = tell.send(());
        }),
    );
    (write, read, told)
}

#[test]
fn bytes_come_out_as_they_went_in_and_then_the_end() {
    let budget = StreamBudget::new(1 << 20);
    let (write, read, room) = open(&budget);
    let (tell, bytes) = channel();
    read.notify_with(Box::new(move || {
        let _ = tell.send(());
    }));
    assert_eq!(read.read(9), ReadResult::Pending);
    write.write(b"abcde");
    bytes.try_recv().expect("the front is told");
    assert_eq!(write.capacity(), LARGEST_WINDOW - 5);
    assert_eq!(read.read(3), ReadResult::Bytes(b"abc".to_vec()));
    room.try_recv().expect("the destination is told");
    write.write(b"f");
    write.finish();
    assert_eq!(read.read(9), ReadResult::Bytes(b"def".to_vec()));
    assert_eq!(read.read(9), ReadResult::End);
}

#[test]
fn what_breaks_off_is_told_after_its_bytes_and_who_leaves_is_heard() {
    let budget = StreamBudget::new(1 << 20);
    let (write, read, room) = open(&budget);
    write.write(b"ab");
    drop(write);
    assert_eq!(read.read(9), ReadResult::Bytes(b"ab".to_vec()));
    assert_eq!(read.read(9), ReadResult::Broken);
    drop(read);
    let (write, read, _) = open(&budget);
    drop(read);
    assert!(write.reader_is_gone());
    room.try_recv().expect("the destination is told");
}

#[test]
fn windows_share_the_budget_and_none_is_starved() {
    let budget = StreamBudget::new(10 * SMALLEST_WINDOW);
    let one = open(&budget);
    assert_eq!(one.0.capacity(), LARGEST_WINDOW);
    let many: Vec<_> = (0..4).map(|_| open(&budget)).collect();
    assert_eq!(one.0.capacity(), 2 * SMALLEST_WINDOW);
    let more: Vec<_> = (0..400).map(|_| open(&budget)).collect();
    assert!(more.iter().all(|s| s.0.capacity() == SMALLEST_WINDOW));
    drop((many, more));
    assert_eq!((budget.open_streams(), one.0.capacity()), (1, LARGEST_WINDOW));
}

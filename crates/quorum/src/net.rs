//! Words over TCP: a frame is its length (four bytes) and the sealed word. A connection carries words both ways; what finds no
//! room in its queue, or nobody behind it, is dropped: whoever said it says it again.

use crate::Event;
use crate::disk::read_frame;
use agreed::{MOST_BYTES, Word};
use membership::authentication::{Keyring, OVERHEAD_BYTES};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Words that may wait to be written to one connection.
const MOST_WAITING: usize = 64;
/// Connections that are open to this instance at most.
const MOST_OPEN: usize = 512;
/// A connection comes up, and takes a word, within this.
const PATIENCE: Duration = Duration::from_millis(300);
/// One on which nothing is said for so long is closed.
const IDLE: Duration = Duration::from_secs(30);

/// Keys that can be changed while words are sealed.
#[derive(Clone)]
pub(crate) struct Seal(Arc<Mutex<Keyring>>);

impl Seal {
    pub(crate) fn new(keys: Keyring) -> Self {
        Self(Arc::new(Mutex::new(keys)))
    }

    pub(crate) fn set(&self, keys: Keyring) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = keys;
    }

    fn keys(&self) -> Keyring {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Writes a word.
pub(crate) fn write(to: &mut impl Write, word: &Word, seal: &Seal) -> io::Result<()> {
    let sealed = seal.keys().sign(&word.bytes());
    to.write_all(&[&(sealed.len() as u32).to_le_bytes()[..], &sealed].concat())
}

/// Reads a word.
pub(crate) fn read(from: &mut TcpStream, seal: &Seal) -> io::Result<Word> {
    let sealed = read_frame(from, MOST_BYTES + OVERHEAD_BYTES)?;
    let word = seal.keys().verify_frame(&sealed).and_then(Word::read);
    word.ok_or_else(|| io::Error::other("it is sealed with another key, or no word"))
}

/// Reads words from a connection until it ends.
fn reads(mut from: TcpStream, by: Option<u64>, seal: &Seal, events: &SyncSender<Event>) {
    let _ = from.set_read_timeout(Some(IDLE));
    while let Ok(word) = read(&mut from, seal) {
        if events.send(Event::Said(by, word)).is_err() {
            return;
        }
    }
}

/// Writes words to a connection until it ends or nobody has any for it.
fn writes(to: &mut TcpStream, words: &Receiver<Word>, seal: &Seal) {
    let _ = (to.set_nodelay(true), to.set_write_timeout(Some(PATIENCE)));
    while let Ok(word) = words.recv_timeout(IDLE) {
        if write(to, &word, seal).is_err() {
            return;
        }
    }
}

/// Takes connections in.
pub(crate) fn listen(listener: TcpListener, seal: Seal, events: SyncSender<Event>) -> io::Result<()> {
    let (numbers, open) = (AtomicU64::new(0), Arc::new(AtomicUsize::new(0)));
    let takes = move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            if open.load(Ordering::Relaxed) >= MOST_OPEN {
                continue;
            }
            let number = numbers.fetch_add(1, Ordering::Relaxed);
            let (queue, words) = sync_channel(MOST_WAITING);
            let Ok(from) = stream.try_clone() else { continue };
            if events.send(Event::Came(number, queue)).is_err() {
                return;
            }
            open.fetch_add(1, Ordering::Relaxed);
            let (seal, events, open) = (seal.clone(), events.clone(), open.clone());
            let serve = move || {
                let (reads_seal, told) = (seal.clone(), events.clone());
                let reader = thread::spawn(move || {
                    reads(from, Some(number), &reads_seal, &told);
                    // Its queue goes with it, which ends the writer.
                    let _ = told.send(Event::Gone(number));
                });
                writes(&mut stream, &words, &seal);
                let _ = stream.shutdown(std::net::Shutdown::Both);
                let _ = reader.join();
                open.fetch_sub(1, Ordering::Relaxed);
            };
            let _ = thread::Builder::new().name("agreed-conn".into()).spawn(serve);
        }
    };
    thread::Builder::new().name("agreed-door".into()).spawn(takes).map(drop)
}

/// A way to a voter; the connection is made when there is something to say.
pub(crate) fn way_to(at: SocketAddr, seal: Seal, events: SyncSender<Event>) -> io::Result<SyncSender<Word>> {
    let (queue, words) = sync_channel::<Word>(MOST_WAITING);
    let carry = move || {
        loop {
            let first = match words.recv_timeout(IDLE) {
                Ok(word) => word,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let Ok(mut stream) = TcpStream::connect_timeout(&at, PATIENCE) else {
                // What has come meanwhile is as late as this one.
                while words.try_recv().is_ok() {}
                continue;
            };
            let Ok(from) = stream.try_clone() else { continue };
            let (reads_seal, told) = (seal.clone(), events.clone());
            let reader = thread::Builder::new()
                .name("agreed-way".into())
                .spawn(move || reads(from, None, &reads_seal, &told));
            let _ = (stream.set_nodelay(true), stream.set_write_timeout(Some(PATIENCE)));
            if write(&mut stream, &first, &seal).is_ok() {
                writes(&mut stream, &words, &seal);
            }
            let _ = stream.shutdown(std::net::Shutdown::Both);
            if let Ok(reader) = reader {
                let _ = reader.join();
            }
        }
    };
    thread::Builder::new().name("agreed-way".into()).spawn(carry)?;
    Ok(queue)
}

/// Says one word to a voter and brings the first answer that `fits`.
///
/// # Errors
///
/// Nobody answers in time.
pub fn call(
    at: SocketAddr,
    keys: &Keyring,
    word: &Word,
    within: Duration,
    fits: impl Fn(&Word) -> bool,
) -> io::Result<Word> {
    let seal = Seal::new(keys.clone());
    let mut stream = TcpStream::connect_timeout(&at, within)?;
    stream.set_read_timeout(Some(within))?;
    write(&mut stream, word, &seal)?;
    loop {
        let answer = read(&mut stream, &seal)?;
        if fits(&answer) {
            return Ok(answer);
        }
    }
}

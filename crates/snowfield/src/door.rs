//! The operators' door: a listener of its own, off the worker, so that a busy gatekeeper still answers within a second.

use operator::{Command, MAX_LINE_BYTES, Metrics};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Callers at one time, each with a descriptor and a thread; when all places are taken the one that has waited longest
/// without a whole line makes room.
pub const MOST_CALLERS: usize = 12;
/// A caller who has sent no line after this is told so and let go: some connect and complete no call for 4 s.
const PATIENCE: Duration = Duration::from_secs(5);
/// A reply fits into the socket's own buffer, unless the caller does not read.
const WRITE_WITHIN: Duration = Duration::from_secs(1);
/// How long a caller who sends more than its line may take to read the reply; closed at once, the reply could be lost.
const LINGER: Duration = Duration::from_millis(200);
/// Stack of a caller's thread.
const STACK: usize = 64 * 1024;

/// What calls act on.
pub trait Desk: Send + Sync + 'static {
    /// Why this process cannot serve, if it cannot.
    fn ready(&self) -> Result<(), String>;
    /// The figures.
    fn figures(&self) -> Metrics;
    /// Takes a loan server out, or calls it back. When this returns nothing new is sent to one that is out.
    fn hold(&self, id: &str, held: bool) -> Result<(), String>;
}

/// Callers who have not sent their line, oldest first.
type Waiting = Arc<Mutex<Vec<(u64, Arc<TcpStream>)>>>;

/// Who is at the door: the address and the callers of the moment.
pub struct Callers {
    /// Where the door is.
    pub address: SocketAddr,
    places: Arc<()>,
}

impl Callers {
    /// How many there are.
    pub fn count(&self) -> usize {
        // One of them is here, and one with the listener.
        Arc::strong_count(&self.places).saturating_sub(2)
    }
}

/// Opens the door at this address and answers callers for as long as the process lives.
///
/// # Errors
///
/// The address cannot be listened on.
pub fn open(at: SocketAddr, desk: Arc<impl Desk>) -> std::io::Result<Callers> {
    let listener = TcpListener::bind(at)?;
    let places = Arc::new(());
    let callers = Callers { address: listener.local_addr()?, places: places.clone() };
    std::thread::Builder::new().name("operators".into()).stack_size(STACK).spawn(move || {
        let waiting = Waiting::default();
        let mut number = 0;
        loop {
            let caller = match listener.accept() {
                Ok((caller, _)) => Arc::new(caller),
                // Out of descriptors, or a caller that has left again: both pass by.
                Err(_) => {
                    std::thread::sleep(Duration::from_millis(5));
                    continue;
                }
            };
            if Arc::strong_count(&places) > MOST_CALLERS + 1 {
                let mut waiting = link::locked(&waiting);
                if !waiting.is_empty() {
                    // Its thread ends by itself.
                    let _ = waiting.remove(0).1.shutdown(Shutdown::Both);
                }
            }
            number += 1;
            link::locked(&waiting).push((number, caller.clone()));
            let (desk, came, place) = (desk.clone(), waiting.clone(), places.clone());
            let serve = move || {
                let line = read_line(&caller);
                link::locked(&came).retain(|(n, _)| *n != number);
                // Where the caller has left there is nobody to tell.
                let _ = finish(&caller, &answer(&*desk, line));
                drop(place);
            };
            if std::thread::Builder::new().stack_size(STACK).spawn(serve).is_err() {
                link::locked(&waiting).retain(|(n, _)| *n != number);
            }
        }
    })?;
    Ok(callers)
}

fn answer(desk: &impl Desk, line: Result<Vec<u8>, &'static str>) -> String {
    let line = match line {
        Ok(line) => line,
        Err(why) => return operator::reply(Err(why)),
    };
    match Command::parse(&line) {
        Ok(Command::Metrics) => desk.figures().to_text(),
        Ok(Command::Ready) => operator::reply(desk.ready()),
        Ok(Command::Eject(id)) => operator::reply(desk.hold(&id, true)),
        Ok(Command::Restore(id)) => operator::reply(desk.hold(&id, false)),
        Err(error) => operator::reply(Err(error)),
    }
}

/// The first line that a caller sends, without its end.
fn read_line(mut caller: &TcpStream) -> Result<Vec<u8>, &'static str> {
    let (begun, mut line, mut piece) = (Instant::now(), Vec::new(), [0; 256]);
    loop {
        let left = PATIENCE.saturating_sub(begun.elapsed());
        if left.is_zero() || caller.set_read_timeout(Some(left)).is_err() {
            return Err("no line came");
        }
        match caller.read(&mut piece) {
            Ok(0) => return Err("the line did not end"),
            Ok(n) => line.extend_from_slice(&piece[..n]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Err("no line came"),
        }
        if let Some(end) = line.iter().position(|&b| b == b'\n') {
            line.truncate(end);
            return Ok(line);
        }
        if line.len() > MAX_LINE_BYTES {
            return Err("the line is too long");
        }
    }
}

/// Writes the reply and says that no more will come; what the caller still sends is taken in for a moment.
fn finish(mut caller: &TcpStream, reply: &str) -> std::io::Result<()> {
    caller.set_write_timeout(Some(WRITE_WITHIN))?;
    caller.write_all(reply.as_bytes())?;
    caller.shutdown(Shutdown::Write)?;
    let begun = Instant::now();
    let mut rest = [0; 256];
    while let left @ 1.. = LINGER.saturating_sub(begun.elapsed()).as_micros() {
        caller.set_read_timeout(Some(Duration::from_micros(left as u64)))?;
        if caller.read(&mut rest)? == 0 {
            break;
        }
    }
    Ok(())
}

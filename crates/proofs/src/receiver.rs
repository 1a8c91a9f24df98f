//! A receiver of calls, as the targets of duties are: it counts each and keeps the highest token of each duty.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// One call that came.
#[derive(Clone, Debug)]
pub struct Came {
    /// When, since the receiver's start.
    pub at: f64,
    /// The duty's name.
    pub duty: String,
    /// The round, which is the token.
    pub round: u64,
    /// The instance that made it.
    pub by: String,
    /// It was refused: a higher token had come before.
    pub refused: bool,
}

#[derive(Default)]
struct Seen {
    came: Vec<Came>,
    highest: HashMap<String, u64>,
}

/// The receiver.
#[derive(Clone)]
pub struct Target {
    /// Where it listens.
    pub address: SocketAddr,
    start: Instant,
    seen: Arc<Mutex<Seen>>,
}

impl Target {
    /// Listens at a free port of loopback.
    ///
    /// # Panics
    ///
    /// There is none.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let target = Self { address, start: Instant::now(), seen: Arc::default() };
        let serving = target.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let target = serving.clone();
                std::thread::spawn(move || target.serve(stream));
            }
        });
        target
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Seconds since its start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// All that came so far, in the order of coming.
    pub fn came(&self) -> Vec<Came> {
        self.seen().came.clone()
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut answers) = stream.try_clone() else { return };
        let mut fields = HashMap::new();
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                fields.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
        let mut take = |name: &str| fields.remove(name).unwrap_or_default();
        let (duty, by) = (take("snowfield-duty"), take("snowfield-by"));
        let Ok(round) = take("snowfield-round").parse::<u64>() else { return };
        let at = self.now();
        let refused = {
            let mut seen = self.seen();
            let highest = seen.highest.entry(duty.clone()).or_default();
            let refused = round <= *highest;
            *highest = round.max(*highest);
            seen.came.push(Came { at, duty, round, by, refused });
            refused
        };
        let status = if refused { "409 Conflict" } else { "200 OK" };
        let _ = answers.write_all(
            format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").as_bytes(),
        );
    }
}

//! What a command requests, and writing answers.

use crate::answer_queue::{CommandNumber, Slot};
use crate::client::ClientConnection;
use crate::front::Front;
use crate::limits::{MAX_UNREAD, MAX_UNREAD_UNDER_PRESSURE, MAX_WAITING};
use crate::memory::Reservation;
use exchange::{AnswerBody, FinalAnswer, Request, StreamReader};
use invariants::Guard;
use link::locked;
use resp::Query;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The least time of a request, in microseconds.
const MIN_TIME_LEFT: u64 = 1_000;
/// A rejection without Retry-After.
const REJECTION: &[u8] = b"-BUSY\r\n";

/// What a command requests.
enum Command {
    Answer(&'static [u8]),
    Error(String),
    Submit(Request<Query>, OpenId),
}

/// The id of an open request; free again when the final answer is given or the client has left.
struct OpenId {
    front: Arc<Front>,
    id: Vec<u8>,
    /// The bytes of its request.
    _reservation: Reservation,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        locked(&self.front.open_ids).remove(&self.id);
    }
}

impl Front {
    /// Takes a command in its turn; returns whether it is valid. `raw` is the command alone, and its arguments lie in it.
    pub(crate) fn take_command(
        self: &Arc<Self>,
        client: &Arc<ClientConnection>,
        raw: &[u8],
        arguments: &[Range<usize>],
    ) -> bool {
        let (number, is_crowded) = {
            let mut queue = locked(&client.queue);
            (queue.push(), queue.waiting >= MAX_WAITING || self.memory.complete.is_exceeded())
        };
        let command = self.interpret(client, raw, arguments);
        {
            let mut queue = locked(&client.queue);
            queue.had_valid_command |= !matches!(command, Command::Error(_));
            queue.had_request |= matches!(command, Command::Submit(..));
        }
        match command {
            Command::Answer(bytes) => self.answer(client, number, bytes.to_vec()),
            Command::Error(text) => {
                self.answer_error(client, number, &text);
                return false;
            }
            Command::Submit(request, _) if is_crowded => {
                self.exchange.count_rejection(request.class);
                self.answer(client, number, REJECTION.to_vec());
            }
            Command::Submit(request, open_id) => self.submit(client, number, request, open_id),
        }
        true
    }

    fn interpret(
        self: &Arc<Self>,
        client: &ClientConnection,
        raw: &[u8],
        arguments: &[Range<usize>],
    ) -> Command {
        let name = arguments.first().map_or(&[][..], |argument| &raw[argument.clone()]);
        if name.eq_ignore_ascii_case(b"PING") {
            let is_ready = self.is_ready.load(Ordering::Acquire);
            return Command::Answer(if is_ready { b"+PONG\r\n" } else { b"-ERR not ready\r\n" });
        }
        if name.eq_ignore_ascii_case(b"CLIENT") || name.eq_ignore_ascii_case(b"SELECT") {
            return Command::Answer(b"+OK\r\n");
        }
        let rules = locked(&self.rules).clone();
        let mut valid = match rules.validate(raw, arguments) {
            Ok(valid) => valid,
            Err(error) => return Command::Error(error.to_string()),
        };
        // Its client counts from when it was sent: it may have waited at a full table, or while this process was held up.
        let waited = client.socket.time_since_last_data().unwrap_or_default();
        valid.request.time_left = time_left_after(valid.request.time_left, waited);
        if !locked(&self.open_ids).insert(valid.id.clone()) {
            return Command::Error("the id is that of an open request".to_owned());
        }
        let reservation = Reservation::new(&self.memory.complete, raw.len());
        let open_id = OpenId { front: self.clone(), id: valid.id, _reservation: reservation };
        Command::Submit(valid.request, open_id)
    }

    fn submit(
        self: &Arc<Self>,
        client: &Arc<ClientConnection>,
        number: CommandNumber,
        request: Request<Query>,
        open_id: OpenId,
    ) {
        invariants::check(
            Guard::Starting,
            self.is_ready.load(Ordering::Acquire),
            format_args!("a request was taken before this process served"),
        );
        locked(&client.queue).waiting += 1;
        let (front, answered) = (self.clone(), client.clone());
        let reply = move |answer| {
            // Freed before the answer goes out: then the client may use its id again.
            drop(open_id);
            locked(&answered.queue).waiting -= 1;
            match answer {
                FinalAnswer::Served(AnswerBody::Stream(stream)) => front.stream(&answered, number, stream),
                answer => front.answer(&answered, number, encode(answer)),
            }
        };
        let id = self.exchange.submit(request, Box::new(reply));
        if let Some(Slot::Waiting(waiting)) = locked(&client.queue).slot(number) {
            *waiting = Some(id);
        }
    }

    pub(crate) fn answer_error(&self, client: &ClientConnection, command: CommandNumber, text: &str) {
        self.answer(client, command, format!("-ERR {text}\r\n").into_bytes());
    }

    /// Keeps an answer for its turn, and writes those whose turn has come.
    fn answer(&self, client: &ClientConnection, command: CommandNumber, bytes: Vec<u8>) {
        let _reservation = Reservation::new(&self.memory.complete, bytes.len());
        client.set_answer(command, Slot::Answered { bytes, _reservation });
        self.write(client);
    }

    /// Keeps a streamed answer for its turn, and writes what may be written of it whenever there is more.
    fn stream(
        self: &Arc<Self>,
        client: &Arc<ClientConnection>,
        command: CommandNumber,
        stream: StreamReader,
    ) {
        let write_more = || {
            let (front, client) = (Arc::downgrade(self), Arc::downgrade(client));
            move || {
                if let (Some(front), Some(client)) = (front.upgrade(), client.upgrade()) {
                    front.write(&client);
                }
            }
        };
        stream.notify_with(Box::new(write_more()));
        client.socket.on_flushed(write_more());
        client.set_answer(command, Slot::Streaming(stream));
        self.write(client);
    }

    /// Writes the answers whose turn has come.
    fn write(&self, client: &ClientConnection) {
        let mut queue = locked(&client.queue);
        let due = queue.take_due(client.socket.unsent());
        if due.is_broken {
            // The client can tell by the end that its value is incomplete; nothing else may follow on this connection.
            let _ = client.socket.send(&due.bytes);
            drop(queue);
            client.socket.close();
            return;
        }
        if due.bytes.is_empty() && !queue.is_empty() || client.socket.is_closed() {
            return;
        }
        // Sent under the lock, so that no later answer overtakes.
        let sent = client.socket.send(&due.bytes);
        let unread = client.socket.unsent();
        let unread_before = queue.unread.bytes();
        queue.unread.resize(unread);
        let mut reader_waits = self.is_closing() || self.is_handing_over();
        if queue.is_empty() {
            queue.idle_since = Instant::now();
            reader_waits |= queue.is_ending;
        }
        drop(queue);
        let is_under_pressure = self.memory.unread.is_exceeded();
        let is_stuck = unread_before > 0 && unread > MAX_UNREAD_UNDER_PRESSURE && is_under_pressure;
        if sent.is_err() || unread > MAX_UNREAD || is_stuck {
            client.socket.close();
        } else if reader_waits {
            client.socket.wake();
        }
    }
}

/// What is left of a request's time after a wait; a moment at the least, so that it has its answer at once.
fn time_left_after(time_left: u64, waited: Duration) -> u64 {
    time_left.saturating_sub(waited.as_micros() as u64).max(MIN_TIME_LEFT)
}

fn encode(answer: FinalAnswer<AnswerBody>) -> Vec<u8> {
    match answer {
        FinalAnswer::Served(AnswerBody::Complete(value)) => value,
        // Streams are passed on before it comes to this.
        FinalAnswer::Served(AnswerBody::Stream(_)) => Vec::new(),
        FinalAnswer::Rejected { retry_after: 0, .. } => REJECTION.to_vec(),
        FinalAnswer::Rejected { retry_after, .. } => {
            format!("-BUSY {}\r\n", retry_after.div_ceil(1000)).into_bytes()
        }
        FinalAnswer::Failed(_) => b"-ERR failed\r\n".to_vec(),
    }
}

//! Dispatch of commands: answers them at once, or submits a request to the exchange.

use crate::answer_queue::{CommandNumber, Slot};
use crate::client::ClientConnection;
use crate::front::Front;
use crate::limits::MAX_IN_FLIGHT;
use crate::memory::Reservation;
use crate::open_requests::OpenRequest;
use exchange::{AnswerBody, FinalAnswer, Request};
use invariants::Guard;
use link::lock_or_abort;
use resp::RequestCommand;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Minimum remaining time of a submitted request.
const MIN_TIME_LEFT_MICROS: u64 = 1_000;
const MICROS_PER_MILLISECOND: u64 = 1_000;
/// Reply to a rejected request that states no time for a retry.
const REJECTION: &[u8] = b"-BUSY\r\n";

/// How a command is handled.
enum Command {
    /// The command is answered at once with these bytes.
    Answer(&'static [u8]),
    /// The command is invalid and answered with this error text.
    Error(String),
    /// The command is a request, to be submitted to the exchange.
    Submit(Submission),
}

/// A valid request. Its id is registered, so that no other request can use the id.
struct Submission {
    request: Request<RequestCommand>,
    open: OpenRequest,
    /// Memory for the bytes of the request.
    reservation: Reservation,
}

impl Front {
    /// Dispatches a command, and returns whether it is valid. `raw` holds the bytes of this command only, and `arguments` are
    /// ranges in it.
    pub(crate) fn dispatch(
        self: &Arc<Self>,
        client: &Arc<ClientConnection>,
        raw: &[u8],
        arguments: &[Range<usize>],
    ) -> bool {
        let (number, is_overloaded) = {
            let mut state = lock_or_abort(&client.state);
            let number = state.answers.push();
            let has_max_in_flight = state.answers.requests_in_flight() >= MAX_IN_FLIGHT;
            (number, has_max_in_flight || self.memory.complete_budget.is_exceeded())
        };
        match self.parse_command(client, raw, arguments) {
            Command::Answer(bytes) => {
                lock_or_abort(&client.state).record_valid_command();
                self.answer(client, number, bytes.to_vec());
            }
            Command::Error(text) => {
                self.answer_error(client, number, &text);
                return false;
            }
            Command::Submit(submission) => {
                lock_or_abort(&client.state).record_request();
                if is_overloaded {
                    self.exchange.count_rejection(submission.request.class);
                    self.answer(client, number, REJECTION.to_vec());
                } else {
                    self.submit(client, number, submission);
                }
            }
        }
        true
    }

    fn parse_command(&self, client: &ClientConnection, raw: &[u8], arguments: &[Range<usize>]) -> Command {
        let name = arguments.first().map_or(&[][..], |argument| &raw[argument.clone()]);
        if name.eq_ignore_ascii_case(b"PING") {
            return Command::Answer(if self.is_ready() { b"+PONG\r\n" } else { b"-ERR not ready\r\n" });
        }
        if name.eq_ignore_ascii_case(b"CLIENT") || name.eq_ignore_ascii_case(b"SELECT") {
            return Command::Answer(b"+OK\r\n");
        }
        let rules = lock_or_abort(&self.rules).clone();
        let mut valid = match rules.validate(raw, arguments) {
            Ok(valid) => valid,
            Err(error) => return Command::Error(error.to_string()),
        };
        // The client's deadline runs from the moment at which the client sent the request. Since then the bytes may have waited
        // while the connection table was full or this process was descheduled.
        let waited = client.socket.time_since_last_data().unwrap_or_default();
        valid.request.time_left = time_left_after(valid.request.time_left, waited);
        let time_left = Duration::from_micros(valid.request.time_left);
        let held_until = (!valid.is_idempotent).then(|| Instant::now() + time_left);
        let Some(open) = self.open_requests.register(valid.id, held_until) else {
            return Command::Error("the id is that of an open request".to_owned());
        };
        let reservation = Reservation::new(&self.memory.complete_budget, raw.len());
        Command::Submit(Submission { request: valid.request, open, reservation })
    }

    fn submit(
        self: &Arc<Self>,
        client: &Arc<ClientConnection>,
        number: CommandNumber,
        submission: Submission,
    ) {
        invariants::check(
            Guard::Starting,
            self.is_ready(),
            format_args!("a request was submitted before the front was ready"),
        );
        lock_or_abort(&client.state).answers.begin_request();
        let Submission { request, open, reservation } = submission;
        let (front, answered) = (self.clone(), client.clone());
        let reply = move |answer| {
            // Frees the id before the answer is written, since the client may reuse it as soon as it has the answer.
            open.finish();
            drop(reservation);
            lock_or_abort(&answered.state).answers.finish_request();
            match answer {
                FinalAnswer::Served(AnswerBody::Stream(stream)) => front.stream(&answered, number, stream),
                answer => front.answer(&answered, number, encode(answer)),
            }
        };
        let id = self.exchange.submit(request, Box::new(reply));
        if let Some(Slot::Waiting(waiting)) = lock_or_abort(&client.state).answers.slot(number) {
            *waiting = Some(id);
        }
    }
}

/// Deducts the time that a request has waited. Leaves [`MIN_TIME_LEFT_MICROS`], so that an expired request is still answered
/// at once.
fn time_left_after(time_left: u64, waited: Duration) -> u64 {
    time_left.saturating_sub(waited.as_micros() as u64).max(MIN_TIME_LEFT_MICROS)
}

fn encode(answer: FinalAnswer<AnswerBody>) -> Vec<u8> {
    match answer {
        FinalAnswer::Served(AnswerBody::Complete(value)) => value,
        // `Front::stream` forwards streamed answers, so none reaches this function.
        FinalAnswer::Served(AnswerBody::Stream(_)) => Vec::new(),
        FinalAnswer::Rejected { retry_after: 0, .. } => REJECTION.to_vec(),
        FinalAnswer::Rejected { retry_after, .. } => {
            format!("-BUSY {}\r\n", retry_after.div_ceil(MICROS_PER_MILLISECOND)).into_bytes()
        }
        FinalAnswer::Failed(_) => b"-ERR failed\r\n".to_vec(),
    }
}

//! Serves the requests of one client connection, one after another.

use crate::Front;
use crate::client_connection::{ClientConnection, Phase};
use crate::front::EVICTABLE_AFTER;
use crate::problem::Problem;
use crate::resolve::{Resolved, request_target};
use exchange::FinalAnswer;
use http::{BodyReader, Framing, Request, RequestHead, Response};
use link::{Incoming, locked};
use policy::Micros;
use std::sync::Arc;

/// Bytes requested of the operating system in one read.
const READ_BYTES: usize = 16 * 1024;
/// Bytes that a client may send ahead while a request of its is in flight.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// An answer is sent this long before the client's deadline, for the granularity of timers.
const DEADLINE_MARGIN: Micros = 10_000;
/// No request has less time than this, however short its deadline.
const MIN_TIME_LEFT: Micros = 1_000;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Why a client connection serves no more requests.
enum ConnectionEnd {
    /// The client has disconnected.
    ClientGone,
    /// It is between requests, and closes gracefully: a request that crosses the close is surely unread.
    BetweenRequests,
    /// This is sent before it closes.
    Problem(Problem),
}

/// Whether a client connection serves further requests.
type Served = Result<(), ConnectionEnd>;

/// A request that has arrived completely.
struct CompleteRequest {
    /// The bytes of its head.
    bytes: Vec<u8>,
    head: RequestHead,
    body: Vec<u8>,
    resolved: Result<Resolved, Problem>,
}

impl Front {
    /// Serves requests until the client disconnects, or one request cannot be told from the next.
    pub(crate) fn serve(&self, client: &Arc<ClientConnection>) {
        let mut buffer = Vec::new();
        let end = loop {
            let served = self.receive(client, &mut buffer);
            if let Err(end) = served.and_then(|request| self.answer(client, &mut buffer, request)) {
                break end;
            }
        };
        match end {
            ConnectionEnd::ClientGone => return,
            ConnectionEnd::BetweenRequests => {}
            ConnectionEnd::Problem(problem) => {
                // A client that cannot be reached any more needs no answer.
                let _ = client.connection.send(&problem.encode(true, false));
            }
        }
        client.enter(Phase::Finishing);
        client.connection.close_gracefully();
    }

    /// Waits for a complete request. Its route and tenant are resolved before its body is read.
    fn receive(
        &self,
        client: &ClientConnection,
        buffer: &mut Vec<u8>,
    ) -> Result<CompleteRequest, ConnectionEnd> {
        // What a client sent ahead before it disconnected is not begun.
        if client.connection.is_peer_closed() {
            return Err(ConnectionEnd::ClientGone);
        }
        let head = loop {
            match http::parse_request_head(buffer)? {
                Some(head) => break head,
                None => self.read_more(client, buffer)?,
            }
        };
        client.enter(Phase::Reading);
        let bytes: Vec<u8> = buffer.drain(..head.length).collect();
        let resolved = self.resolve(&bytes, &head);
        if let (Err(problem), true) = (&resolved, head.framing != Framing::Empty) {
            // The body that follows is not wanted: it ends with the connection.
            return Err(ConnectionEnd::Problem(problem.clone()));
        }
        let body = self.receive_body(client, buffer, &head)?;
        Ok(CompleteRequest { bytes, head, body, resolved })
    }

    fn receive_body(
        &self,
        client: &ClientConnection,
        buffer: &mut Vec<u8>,
        head: &RequestHead,
    ) -> Result<Vec<u8>, ConnectionEnd> {
        let mut body = BodyReader::new(head.framing, self.config.max_body_bytes)?;
        let mut awaits_continue = head.expects_continue;
        while !body.read_from(buffer)? {
            if std::mem::take(&mut awaits_continue) {
                // If it cannot be sent, the next read says so.
                let _ = client.connection.send(CONTINUE);
            }
            self.read_more(client, buffer)?;
        }
        Ok(body.bytes)
    }

    /// Waits for more bytes of a request.
    fn read_more(&self, client: &ClientConnection, buffer: &mut Vec<u8>) -> Served {
        if buffer.is_empty() && client.phase().0 != Phase::Reading {
            if self.is_draining() {
                return Err(ConnectionEnd::BetweenRequests);
            }
            client.enter(Phase::Idle);
        }
        match client.connection.receive(buffer, READ_BYTES) {
            // What came from a client that has disconnected since is not begun.
            Ok(Incoming::Bytes(_)) if client.connection.is_peer_closed() => Err(ConnectionEnd::ClientGone),
            Ok(Incoming::Bytes(_)) => {
                client.enter(Phase::Reading);
                Ok(())
            }
            Ok(Incoming::Woken) => self.check_overdue(client),
            Ok(Incoming::End) | Err(_) => Err(ConnectionEnd::ClientGone),
        }
    }

    /// Ends a connection that was woken because it is idle or stalled for too long.
    fn check_overdue(&self, client: &ClientConnection) -> Served {
        let (phase, since) = client.phase();
        // Only here, where nothing is left to read, is it sure that no request has arrived unseen.
        if client.take_close_if_idle() && client.idle_since(EVICTABLE_AFTER).is_some() {
            return Err(ConnectionEnd::BetweenRequests);
        }
        if phase == Phase::Reading && since.elapsed() > self.config.client_timeout {
            let problem = Problem::new(408, "Request Timeout", "the request came too slowly");
            return Err(ConnectionEnd::Problem(problem));
        }
        Ok(())
    }

    /// Has a request answered, and sends the answer.
    fn answer(
        &self,
        client: &Arc<ClientConnection>,
        buffer: &mut Vec<u8>,
        request: CompleteRequest,
    ) -> Served {
        let CompleteRequest { bytes, head, body, resolved } = request;
        let is_head = &bytes[head.method.clone()] == b"HEAD";
        client.enter(Phase::Waiting);
        let resolved = match resolved {
            Ok(resolved) => resolved,
            Err(problem) => {
                return self.send(client, &problem.encode(!head.keep_alive, is_head), head.keep_alive);
            }
        };
        let request = self.exchange_request(&bytes, &head, body, resolved)?;
        let answer = self.exchange(client, buffer, request)?;
        locked(&self.counts)[resolved.route].count(&answer);
        let keep_alive = head.keep_alive && !self.is_draining();
        self.send(client, &encode_answer(&answer, !keep_alive, is_head), keep_alive)
    }

    fn send(&self, client: &ClientConnection, bytes: &[u8], keep_alive: bool) -> Served {
        client.connection.send(bytes).map_err(|_| ConnectionEnd::ClientGone)?;
        client.enter(Phase::Finishing);
        if !keep_alive {
            return Err(ConnectionEnd::BetweenRequests);
        }
        // The next request is read when the client has taken this answer, so answers never pile up.
        client.connection.flush_all().map_err(|_| ConnectionEnd::ClientGone)?;
        client.enter(Phase::Idle);
        Ok(())
    }

    /// The request as the exchange gets it.
    fn exchange_request(
        &self,
        bytes: &[u8],
        head: &RequestHead,
        body: Vec<u8>,
        Resolved { route, tenant }: Resolved,
    ) -> Result<exchange::Request<Request>, ConnectionEnd> {
        let target = request_target(bytes, head).map_err(ConnectionEnd::Problem)?;
        let class = self.config.classes[route];
        let who = &self.config.tenants[tenant];
        Ok(exchange::Request {
            class: class.class,
            plan: who.plan,
            tenant: who.id,
            time_left: class.deadline.saturating_sub(DEADLINE_MARGIN).max(MIN_TIME_LEFT),
            tenant_gatekeepers: self.config.tenant_gatekeepers,
            units: self.config.routes.routes()[route].units,
            client_retry: false,
            account: Some(self.config.account(route, tenant)),
            payload: Request::new(bytes, head, target, body),
        })
    }

    /// Submits a request to the exchange and waits for its final answer, or for the client to disconnect.
    fn exchange(
        &self,
        client: &Arc<ClientConnection>,
        buffer: &mut Vec<u8>,
        request: exchange::Request<Request>,
    ) -> Result<FinalAnswer<Response>, ConnectionEnd> {
        let recipient = client.clone();
        let id = self.exchange.submit(request, Box::new(move |answer| recipient.deliver(answer)));
        loop {
            if let Some(answer) = client.take_answer() {
                return Ok(answer);
            }
            let is_gone = if buffer.len() >= MAX_READ_AHEAD_BYTES {
                client.connection.wait();
                client.connection.is_closed()
            } else {
                matches!(client.connection.receive(buffer, READ_BYTES), Ok(Incoming::End) | Err(_))
            };
            if is_gone || client.connection.is_peer_closed() {
                self.exchange.client_gone(id);
                return Err(ConnectionEnd::ClientGone);
            }
        }
    }
}

/// The bytes of a final answer.
fn encode_answer(answer: &FinalAnswer<Response>, close: bool, is_head: bool) -> Vec<u8> {
    /// Room for the length and connection fields.
    const FIELD_BYTES: usize = 64;
    match answer {
        FinalAnswer::Served(response) => {
            let mut bytes = Vec::with_capacity(response.head.len() + response.body.len() + FIELD_BYTES);
            response.encode(close, &mut bytes);
            bytes
        }
        FinalAnswer::Rejected { retry_after, reason } => {
            Problem::not_served(*reason, *retry_after).encode(close, is_head)
        }
        FinalAnswer::Failed(reason) => Problem::not_served(*reason, 0).encode(close, is_head),
    }
}

impl From<http::HttpError> for ConnectionEnd {
    fn from(error: http::HttpError) -> Self {
        Self::Problem(Problem::from(error))
    }
}

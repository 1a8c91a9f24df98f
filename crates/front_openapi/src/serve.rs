//! Serving the requests of one client connection, one after another.

use crate::Front;
use crate::client_connection::{ClientConnection, Phase};
use crate::connection_end::{ConnectionEnd, ServeResult};
use crate::problem::Problem;
use crate::receive::{CompleteRequest, MAX_READ_BYTES};
use crate::resolve::{ResolvedRequest, request_target};
use exchange::FinalAnswer;
use http::{Request, RequestHead, Response};
use link::{Incoming, lock_or_abort};
use policy::Micros;
use std::sync::Arc;

/// Bytes that a client may pipeline while a request is in flight. Once this many bytes are buffered, the connection is not
/// read (backpressure).
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Time by which the exchange's deadline precedes the client's timeout, to cover the resolution of timers.
const DEADLINE_MARGIN_MICROS: Micros = 10_000;
/// Minimum time that a request has at the exchange, however short its deadline.
const MIN_TIME_LEFT_MICROS: Micros = 1_000;

impl Front {
    /// Serves requests until the client disconnects, the connection is to close, or the end of a request cannot be determined.
    pub(crate) fn serve(&self, client: &Arc<ClientConnection>) {
        let mut buffer = Vec::new();
        let end = loop {
            let received = self.receive(client, &mut buffer);
            if let Err(end) = received.and_then(|request| self.answer_request(client, &mut buffer, request)) {
                break end;
            }
        };
        match end {
            ConnectionEnd::ClientGone => return,
            ConnectionEnd::BetweenRequests => {}
            ConnectionEnd::Problem(problem) => {
                // Sending fails only if the client has disconnected, which then needs no response.
                let _ = client.connection.send(&problem.encode(true, false));
            }
        }
        client.enter_phase(Phase::Finishing);
        client.connection.close_gracefully();
    }

    /// Obtains the answer to a request, and sends it.
    fn answer_request(
        &self,
        client: &Arc<ClientConnection>,
        buffer: &mut Vec<u8>,
        request: CompleteRequest,
    ) -> ServeResult {
        let CompleteRequest { bytes, head, body, resolved } = request;
        let is_head = &bytes[head.method.clone()] == b"HEAD";
        client.enter_phase(Phase::Waiting);
        let resolved = match resolved {
            Ok(resolved) => resolved,
            Err(problem) => {
                let keep_alive = self.keeps_alive(&head);
                return self.send(client, &problem.encode(!keep_alive, is_head), keep_alive);
            }
        };
        let request = self.exchange_request(&bytes, &head, body, resolved)?;
        let answer = self.await_answer(client, buffer, request)?;
        lock_or_abort(&self.counts)[resolved.route].count(&answer);
        let keep_alive = self.keeps_alive(&head);
        self.send(client, &encode_answer(&answer, !keep_alive, is_head), keep_alive)
    }

    /// Whether the connection serves further requests after this one.
    fn keeps_alive(&self, head: &RequestHead) -> bool {
        head.keep_alive && !self.is_draining()
    }

    /// Sends an answer. If the connection stays open, waits until the socket has taken the answer.
    fn send(&self, client: &ClientConnection, bytes: &[u8], keep_alive: bool) -> ServeResult {
        client.connection.send(bytes).map_err(|_| ConnectionEnd::ClientGone)?;
        client.enter_phase(Phase::Finishing);
        if !keep_alive {
            return Err(ConnectionEnd::BetweenRequests);
        }
        // The next request is read after the socket has taken this answer, so at most one answer is buffered (backpressure).
        client.connection.flush_all().map_err(|_| ConnectionEnd::ClientGone)?;
        client.enter_phase(Phase::Idle);
        Ok(())
    }

    /// Builds the request that is submitted to the exchange.
    fn exchange_request(
        &self,
        bytes: &[u8],
        head: &RequestHead,
        body: Vec<u8>,
        ResolvedRequest { route, tenant }: ResolvedRequest,
    ) -> Result<exchange::Request<Request>, ConnectionEnd> {
        let target = request_target(bytes, head).map_err(ConnectionEnd::Problem)?;
        let class = self.config.classes[route];
        let tenant_config = &self.config.tenants[tenant];
        Ok(exchange::Request {
            class: class.class,
            plan: tenant_config.plan,
            tenant: tenant_config.id,
            time_left: class.deadline.saturating_sub(DEADLINE_MARGIN_MICROS).max(MIN_TIME_LEFT_MICROS),
            tenant_gatekeepers: self.config.tenant_gatekeeper_count,
            units: self.config.routes.routes()[route].units,
            client_retry: false,
            account: Some(self.config.account(route, tenant)),
            payload: Request::new(bytes, head, target, body),
        })
    }

    /// Submits a request to the exchange and waits for its final answer, or for the client to disconnect.
    fn await_answer(
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
                matches!(client.connection.receive(buffer, MAX_READ_BYTES), Ok(Incoming::End) | Err(_))
            };
            if is_gone || client.connection.is_peer_closed() {
                self.exchange.client_gone(id);
                return Err(ConnectionEnd::ClientGone);
            }
        }
    }
}

/// Encodes a final answer as an HTTP response.
fn encode_answer(answer: &FinalAnswer<Response>, close: bool, is_head: bool) -> Vec<u8> {
    /// Capacity for the `Content-Length` and `Connection` fields.
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

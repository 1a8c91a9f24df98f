//! Receiving requests from a client connection.

use crate::Front;
use crate::client_connection::{ClientConnection, Phase};
use crate::connection_end::{ConnectionEnd, ServeResult};
use crate::front::MIN_IDLE_FOR_EVICTION;
use crate::problem::Problem;
use crate::resolve::ResolvedRequest;
use http::{BodyReader, Framing, RequestHead};
use link::Incoming;

/// Maximum bytes of one read.
pub(crate) const MAX_READ_BYTES: usize = 16 * 1024;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request that has arrived completely.
pub(crate) struct CompleteRequest {
    /// The bytes of the head.
    pub(crate) bytes: Vec<u8>,
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
    pub(crate) resolved: Result<ResolvedRequest, Problem>,
}

impl Front {
    /// Waits for a complete request. Its route and tenant are resolved before its body is read.
    pub(crate) fn receive(
        &self,
        client: &ClientConnection,
        buffer: &mut Vec<u8>,
    ) -> Result<CompleteRequest, ConnectionEnd> {
        // Requests that a client pipelined before it disconnected are not submitted.
        if client.connection.is_peer_closed() {
            return Err(ConnectionEnd::ClientGone);
        }
        let head = loop {
            match http::parse_request_head(buffer)? {
                Some(head) => break head,
                None => self.read_more(client, buffer)?,
            }
        };
        client.enter_phase(Phase::Reading);
        let bytes: Vec<u8> = buffer.drain(..head.length).collect();
        let resolved = self.resolve(&bytes, &head);
        if let (Err(problem), true) = (&resolved, head.framing != Framing::Empty) {
            // The body is not read, so the connection cannot serve a further request.
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
                // A failure to send is reported by the next read.
                let _ = client.connection.send(CONTINUE);
            }
            self.read_more(client, buffer)?;
        }
        Ok(body.bytes)
    }

    /// Waits for more bytes of a request.
    fn read_more(&self, client: &ClientConnection, buffer: &mut Vec<u8>) -> ServeResult {
        let is_between_requests = buffer.is_empty() && client.phase().phase != Phase::Reading;
        if is_between_requests && self.is_draining() {
            // Bytes that have arrived are read before the wake is reported, so no request that has arrived is left unread.
            client.connection.wake();
        }
        // A part of a request may have arrived behind an earlier one.
        client.enter_phase(if is_between_requests { Phase::Idle } else { Phase::Reading });
        match client.connection.receive(buffer, MAX_READ_BYTES) {
            // Requests of a client that has disconnected are not submitted.
            Ok(Incoming::Bytes(_)) if client.connection.is_peer_closed() => Err(ConnectionEnd::ClientGone),
            Ok(Incoming::Bytes(_)) => {
                client.enter_phase(Phase::Reading);
                Ok(())
            }
            Ok(Incoming::Woken) => self.check_woken(client),
            Ok(Incoming::End) | Err(_) => Err(ConnectionEnd::ClientGone),
        }
    }

    /// Ends a woken connection if it is idle and the front drains or its close was requested, or if its request has exceeded the
    /// client timeout.
    fn check_woken(&self, client: &ClientConnection) -> ServeResult {
        let current = client.phase();
        // A wake is reported only when nothing is left to read, so no request has arrived unread.
        if current.phase == Phase::Idle && self.is_draining() {
            return Err(ConnectionEnd::BetweenRequests);
        }
        if client.take_close_request() && client.idle_since(MIN_IDLE_FOR_EVICTION).is_some() {
            return Err(ConnectionEnd::BetweenRequests);
        }
        if current.phase == Phase::Reading && current.exceeds(self.config.client_timeout) {
            let problem = Problem::new(408, "Request Timeout", "the request came too slowly");
            return Err(ConnectionEnd::Problem(problem));
        }
        Ok(())
    }
}

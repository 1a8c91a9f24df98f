//! The front whose routes and costs come from OpenAPI descriptions: HTTP/1.1 in, operations out.
//!
//! A request's method and path lead to a route, the route to its units and class; a configured header names the lender,
//! and the file, not the client, names the lender's plan. The exchange decides as it does for every front.

mod problem;
mod report;

use exchange::{Exchange, FailureReason, FinalAnswer, TenantId};
use http::{BodyReader, Framing, HttpError, Request, RequestHead, Response};
use link::{Connection, Incoming, Listener, locked, sleep, spawn};
use openapi::{RouteMatch, RouteTable};
use policy::Micros;
use problem::Problem;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

pub use report::RouteCounts;

/// Bytes asked of the system in one read.
const READ: usize = 16 * 1024;
/// Bytes that a client may send ahead while a request of its is in hand.
const MOST_AHEAD: usize = 64 * 1024;
/// A client connection that is idle for this long is closed.
const IDLE: Duration = Duration::from_secs(75);
/// In a full table a client connection that has been idle for this long makes room.
const QUIET: Duration = Duration::from_secs(2);
/// Between two looks for room in a full table.
const LOOK: Duration = Duration::from_millis(2);
/// us; an answer leaves this long before the deadline, for the timers' grain.
const MARGIN: u64 = 10_000;

/// What this front passes on and gives back.
pub type HttpExchange = Exchange<Request, Response>;

/// A lender that may send requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Its name, as the header gives it.
    pub name: String,
    /// Its customer number.
    pub id: TenantId,
    /// The number of its plan.
    pub plan: u32,
    /// The name of its plan.
    pub plan_name: String,
}

/// The request class of a route, as the exchange knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteClass {
    /// The number of the class.
    pub class: u16,
    /// The client gives up after this, in microseconds.
    pub deadline: Micros,
}

/// What the front works by.
#[derive(Clone, Debug)]
pub struct FrontConfig {
    /// The routes.
    pub routes: RouteTable,
    /// For each route the number of its class and, in us, its deadline.
    pub classes: Vec<RouteClass>,
    /// The header that names the lender.
    pub tenant_header: String,
    /// The lenders.
    pub tenants: Vec<Tenant>,
    /// How many gatekeepers a lender's requests come through.
    pub tenant_gatekeepers: f64,
    /// The most bytes of a request's body.
    pub max_body_bytes: usize,
    /// The most client connections.
    pub max_connections: usize,
    /// A request must be whole, and an answer taken, in this span.
    pub client_timeout: Duration,
}

/// The front with all its sockets.
pub struct Front {
    exchange: Arc<HttpExchange>,
    setup: FrontConfig,
    closing: AtomicBool,
    sockets: Mutex<Vec<Weak<ClientConnection>>>,
    counts: Mutex<Vec<RouteCounts>>,
}

/// One client's connection.
struct ClientConnection {
    connection: Connection,
    phase: Mutex<(Phase, Instant)>,
    answer: Mutex<Option<FinalAnswer<Response>>>,
    /// Room is needed: it ends if it is idle.
    unwanted: AtomicBool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Between requests.
    Idle,
    /// A request has begun to come in.
    Reading,
    /// The exchange has it.
    Waiting,
    /// The last answer is on its way.
    Finishing,
}

/// FailureReason a client connection serves no more requests.
enum Stop {
    /// The client is gone, or all is said.
    Gone,
    /// It is between requests, and ends so that what crosses it is surely unread.
    Quiet,
    /// This is said first.
    Problem(Problem),
}

/// A request that is whole.
struct Whole {
    bytes: Vec<u8>,
    head: RequestHead,
    body: Vec<u8>,
    admitted: Result<Admitted, Problem>,
}

/// Who asks for what.
#[derive(Clone, Copy)]
struct Admitted {
    route: usize,
    lender: usize,
}

impl ClientConnection {
    fn enter(&self, phase: Phase) {
        let mut place = locked(&self.phase);
        if place.0 != phase {
            *place = (phase, Instant::now());
        }
    }
}

impl Front {
    /// A front on this exchange.
    pub fn new(exchange: Arc<HttpExchange>, setup: FrontConfig) -> Arc<Self> {
        let counts = Mutex::new(vec![RouteCounts::default(); setup.routes.routes().len()]);
        Arc::new(Self { exchange, setup, closing: AtomicBool::new(false), sockets: Mutex::default(), counts })
    }

    /// Accepts client connections until the door is shut; runs in a coroutine.
    pub fn accept_connections(self: &Arc<Self>, door: &Listener) {
        while let Some(connection) = door.accept() {
            // A full table keeps new sockets waiting until idle ones have made room: closed, they would only come again.
            while self.is_full() {
                self.make_room();
                sleep(LOOK);
            }
            let (phase, unwanted) = (Mutex::new((Phase::Idle, Instant::now())), AtomicBool::new(false));
            let socket = Arc::new(ClientConnection { connection, phase, answer: Mutex::new(None), unwanted });
            locked(&self.sockets).push(Arc::downgrade(&socket));
            let front = self.clone();
            spawn(move || {
                front.serve(&socket);
                socket.connection.close();
            });
        }
    }

    /// Closes every client connection as soon as it is between requests.
    pub fn drain(&self) {
        self.closing.store(true, Ordering::Release);
        self.open_sockets().iter().for_each(|socket| socket.connection.wake());
    }

    /// Client connections that are open.
    pub fn open_connections(&self) -> usize {
        self.open_sockets().len()
    }

    /// Ends what takes too long; call it now and then.
    pub fn close_overdue(&self) {
        for socket in self.open_sockets() {
            let (phase, since) = *locked(&socket.phase);
            match phase {
                Phase::Idle if since.elapsed() > IDLE => {
                    socket.unwanted.store(true, Ordering::Release);
                    socket.connection.wake();
                }
                // Woken, it looks at the time by itself.
                Phase::Reading if since.elapsed() > self.setup.client_timeout => socket.connection.wake(),
                Phase::Finishing if since.elapsed() > self.setup.client_timeout => socket.connection.close(),
                _ => {}
            }
        }
    }

    fn is_full(&self) -> bool {
        let mut sockets = locked(&self.sockets);
        sockets.retain(|s| s.strong_count() > 0);
        sockets.len() >= self.setup.max_connections
    }

    /// Has the socket end that has been idle for longest, if it has been for long enough.
    fn make_room(&self) {
        let idle = |s: &Arc<ClientConnection>| {
            let (phase, since) = *locked(&s.phase);
            (phase == Phase::Idle && since.elapsed() >= QUIET).then_some(since)
        };
        let sockets = self.open_sockets();
        if let Some((_, socket)) =
            sockets.iter().filter_map(|s| Some((idle(s)?, s))).min_by_key(|(at, _)| *at)
        {
            socket.unwanted.store(true, Ordering::Release);
            socket.connection.wake();
        }
    }

    fn open_sockets(&self) -> Vec<Arc<ClientConnection>> {
        locked(&self.sockets).iter().filter_map(Weak::upgrade).filter(|s| !s.connection.is_closed()).collect()
    }

    /// Serves one request after another until the client leaves or one cannot be told from the next.
    fn serve(&self, socket: &Arc<ClientConnection>) {
        let mut buffer = Vec::new();
        loop {
            let stop = match self.receive(socket, &mut buffer) {
                Ok(whole) => self.answer(socket, &mut buffer, whole),
                Err(stop) => Some(stop),
            };
            match stop {
                None => {}
                Some(Stop::Gone) => return,
                Some(Stop::Quiet) => {
                    socket.enter(Phase::Finishing);
                    return socket.connection.close_gracefully();
                }
                Some(Stop::Problem(problem)) => {
                    let _ = socket.connection.send(&problem.bytes(true, false));
                    socket.enter(Phase::Finishing);
                    return socket.connection.close_gracefully();
                }
            }
        }
    }

    /// Waits for a whole request. Its route and lender are looked up before its body is taken in.
    fn receive(&self, socket: &ClientConnection, buffer: &mut Vec<u8>) -> Result<Whole, Stop> {
        // What it sent ahead is not begun for a client that has gone.
        if socket.connection.is_peer_closed() {
            return Err(Stop::Gone);
        }
        let head = loop {
            match http::parse_request_head(buffer) {
                Ok(Some(head)) => break head,
                Ok(None) => self.more(socket, buffer)?,
                Err(refusal) => return Err(Stop::Problem(Problem::refused(refusal))),
            }
        };
        socket.enter(Phase::Reading);
        let bytes: Vec<u8> = buffer.drain(..head.length).collect();
        let admitted = self.admit(&bytes, &head);
        if let (Err(problem), true) = (&admitted, head.framing != Framing::Empty) {
            // The body that follows is not wanted: it ends with the connection.
            return Err(Stop::Problem(problem.clone()));
        }
        let refused = |r| Stop::Problem(Problem::refused(r));
        let mut body = BodyReader::new(head.framing, self.setup.max_body_bytes).map_err(refused)?;
        let mut told = !head.expects_continue;
        while !body.read_from(buffer).map_err(refused)? {
            if !told {
                told = true;
                let _ = socket.connection.send(b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            self.more(socket, buffer)?;
        }
        Ok(Whole { bytes, head, body: body.bytes, admitted })
    }

    /// Waits for more bytes of a request.
    fn more(&self, socket: &ClientConnection, buffer: &mut Vec<u8>) -> Result<(), Stop> {
        if buffer.is_empty() && locked(&socket.phase).0 != Phase::Reading {
            if self.closing.load(Ordering::Acquire) {
                return Err(Stop::Quiet);
            }
            socket.enter(Phase::Idle);
        }
        match socket.connection.receive(buffer, READ) {
            // What has come from a client that has gone since is not begun.
            Ok(Incoming::Bytes(_)) if socket.connection.is_peer_closed() => return Err(Stop::Gone),
            Ok(Incoming::Bytes(_)) => socket.enter(Phase::Reading),
            Ok(Incoming::Woken) => {
                let (phase, since) = *locked(&socket.phase);
                // Only here, where nothing is left to read, is it sure that no request has come in unseen.
                let unwanted = socket.unwanted.swap(false, Ordering::AcqRel);
                if unwanted && phase == Phase::Idle && since.elapsed() >= QUIET {
                    return Err(Stop::Quiet);
                }
                if phase == Phase::Reading && since.elapsed() > self.setup.client_timeout {
                    let detail = "the request came too slowly";
                    return Err(Stop::Problem(Problem::new(408, "Request Timeout", detail)));
                }
            }
            Ok(Incoming::End) | Err(_) => return Err(Stop::Gone),
        }
        Ok(())
    }

    /// The route and the lender of a request.
    fn admit(&self, bytes: &[u8], head: &RequestHead) -> Result<Admitted, Problem> {
        let path = path_of(target_of(bytes, head)?);
        let method = &bytes[head.method.clone()];
        let text =
            |part| std::str::from_utf8(part).map_err(|_| Problem::malformed("the target is not ASCII"));
        let found = self.setup.routes.find(text(method)?, text(path)?);
        let route = match found.map_err(|e| Problem::malformed(&e.to_string()))? {
            RouteMatch::Route(route) => route,
            RouteMatch::MethodNotAllowed(allowed) => return Err(Problem::wrong_method(&allowed)),
            RouteMatch::NotFound => return Err(Problem::new(404, "Not Found", "no route has this path")),
        };
        let header = &self.setup.tenant_header;
        let mut names = http::header_values(bytes, &head.fields, header);
        let (Some(name), None) = (names.next(), names.next()) else {
            return Err(Problem::malformed(&format!("the header {header} must name one lender")));
        };
        match self.setup.tenants.iter().position(|l| l.name.as_bytes() == name) {
            Some(lender) => Ok(Admitted { route, lender }),
            None => Err(Problem::new(403, "Forbidden", "this lender is not known here")),
        }
    }

    /// Has a request answered and writes the answer. Tells whether the socket is done for.
    fn answer(&self, socket: &Arc<ClientConnection>, buffer: &mut Vec<u8>, whole: Whole) -> Option<Stop> {
        let Whole { bytes, head, body, admitted } = whole;
        let is_head = &bytes[head.method.clone()] == b"HEAD";
        socket.enter(Phase::Waiting);
        let answer = match admitted {
            Ok(admitted) => match self.exchange(socket, buffer, &bytes, &head, body, admitted) {
                Ok(answer) => {
                    locked(&self.counts)[admitted.route].count(&answer);
                    answer
                }
                Err(stop) => return Some(stop),
            },
            Err(problem) => {
                return self.say(socket, &problem.bytes(!head.keep_alive, is_head), head.keep_alive);
            }
        };
        let keep = head.keep_alive && !self.closing.load(Ordering::Acquire);
        let bytes = match answer {
            FinalAnswer::Served(answer) => {
                let mut out = Vec::with_capacity(answer.head.len() + answer.body.len() + 64);
                answer.encode(!keep, &mut out);
                out
            }
            FinalAnswer::Rejected { retry_after, reason: why } => {
                Problem::unserved(why, retry_after).bytes(!keep, is_head)
            }
            FinalAnswer::Failed(why) => Problem::unserved(why, 0).bytes(!keep, is_head),
        };
        self.say(socket, &bytes, keep)
    }

    fn say(&self, socket: &ClientConnection, bytes: &[u8], keep: bool) -> Option<Stop> {
        if socket.connection.send(bytes).is_err() {
            return Some(Stop::Gone);
        }
        socket.enter(Phase::Finishing);
        if keep {
            // The next request is read when the client has taken this answer, so answers never pile up.
            if socket.connection.flush_all().is_err() {
                return Some(Stop::Gone);
            }
            socket.enter(Phase::Idle);
            return None;
        }
        Some(Stop::Quiet)
    }

    /// Hands a request to the exchange and waits for its final answer, or for the client to leave.
    fn exchange(
        &self,
        socket: &Arc<ClientConnection>,
        buffer: &mut Vec<u8>,
        bytes: &[u8],
        head: &RequestHead,
        body: Vec<u8>,
        admitted: Admitted,
    ) -> Result<FinalAnswer<Response>, Stop> {
        let Admitted { route, lender } = admitted;
        let target = target_of(bytes, head).map_err(Stop::Problem)?;
        let RouteClass { class, deadline } = self.setup.classes[route];
        let who = &self.setup.tenants[lender];
        let request = exchange::Request {
            class,
            plan: who.plan,
            tenant: who.id,
            time_left: deadline.saturating_sub(MARGIN).max(1000),
            tenant_gatekeepers: self.setup.tenant_gatekeepers,
            units: self.setup.routes.routes()[route].units,
            client_retry: false,
            account: Some((route * self.setup.tenants.len() + lender) as u32),
            payload: Request::new(bytes, head, target, body),
        };
        let place = socket.clone();
        let reply = move |answer| {
            *locked(&place.answer) = Some(answer);
            place.connection.wake();
        };
        let id = self.exchange.submit(request, Box::new(reply));
        loop {
            if let Some(answer) = locked(&socket.answer).take() {
                return Ok(answer);
            }
            let gone = if buffer.len() >= MOST_AHEAD {
                socket.connection.wait();
                socket.connection.is_closed()
            } else {
                matches!(socket.connection.receive(buffer, READ), Ok(Incoming::End) | Err(_))
            } || socket.connection.is_peer_closed();
            if gone {
                self.exchange.client_gone(id);
                return Err(Stop::Gone);
            }
        }
    }
}

/// The target in the form with a path; clients may also send it with scheme and authority.
fn target_of<'a>(bytes: &'a [u8], head: &RequestHead) -> Result<&'a [u8], Problem> {
    let target = &bytes[head.target.clone()];
    let absolute = [&b"http://"[..], b"https://"]
        .into_iter()
        .find(|scheme| target.get(..scheme.len()).is_some_and(|start| start.eq_ignore_ascii_case(scheme)));
    let target = match absolute {
        Some(scheme) => {
            let rest = &target[scheme.len()..];
            rest.iter().position(|&b| b == b'/').map_or(&b"/"[..], |at| &rest[at..])
        }
        None => target,
    };
    if target.starts_with(b"/") && !target.contains(&b'#') {
        Ok(target)
    } else {
        Err(Problem::malformed("the target has no path"))
    }
}

fn path_of(target: &[u8]) -> &[u8] {
    target.split(|&b| b == b'?').next().unwrap_or_default()
}

impl Problem {
    fn refused(refusal: HttpError) -> Self {
        match refusal {
            HttpError::Malformed(text) => Self::malformed(text),
            HttpError::HeadTooLarge => {
                Self::new(431, "Request Header Fields Too Large", "the head is too large")
            }
            HttpError::BodyTooLarge => Self::new(413, "Content Too Large", "the body is too large"),
        }
    }

    fn unserved(why: FailureReason, retry_after: u64) -> Self {
        let problem = match why {
            FailureReason::NoCapacity => {
                Self::new(429, "Too Many Requests", "the lender's quota or the destinations have no room")
            }
            FailureReason::NoBackend => Self::new(503, "Service Unavailable", "no destination is available"),
            FailureReason::BackendFailed => Self::new(502, "Bad Gateway", "the destination failed"),
            FailureReason::DeadlineExceeded => {
                Self::new(504, "Gateway Timeout", "no destination answered in time")
            }
        };
        match why {
            FailureReason::NoCapacity => problem.retry_after(retry_after.max(1)),
            FailureReason::NoBackend => problem.retry_after(retry_after),
            FailureReason::BackendFailed | FailureReason::DeadlineExceeded => problem,
        }
    }
}

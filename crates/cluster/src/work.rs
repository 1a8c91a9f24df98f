//! The calls themselves: claims in the store, and runs. Each pool is a few threads behind a bounded queue.

use crate::brain::{CALL, Event};
use crate::{Clocks, Settings, StoreAt};
use consul::Token;
use job_lease::consul::{Answer, Keys, Request};
use job_lease::{Failure, Listing, Put, Record, Session};
use periodic_jobs::Run;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use ureq::Agent;

/// Jobs that may wait for a thread.
const MOST_WAITING: usize = 1_024;
/// The most bytes of an answer of the store, and of one to a call or probe.
const LARGEST: (u64, u64) = (8 * 1024 * 1024, 64 * 1024);
/// Seconds without renewal after which the session ends: the least that Consul takes.
const TTL_S: u64 = 10;

/// A call to the store.
#[derive(Debug)]
pub(crate) enum StoreJob {
    Open,
    Renew(Session),
    Read {
        call: u64,
        names: Vec<String>,
    },
    Put {
        call: u64,
        name: String,
        record: Record,
        index: u64,
        session: Session,
    },
    /// The last one: tells when it is done.
    Close(Session, SyncSender<()>),
}

/// What a run does.
#[derive(Clone, Debug)]
pub(crate) enum Doing {
    Call { url: String, timeout: Duration },
    Probe { id: String, address: SocketAddr, path: String, timeout: Duration },
}

/// What came of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It was answered with this status.
    Status(u16),
    /// No answer.
    Failed(String),
    /// Its time was over before it began: this instance was paused, or a clock was set.
    Late,
}

/// A pool's queue.
#[derive(Clone, Debug)]
pub(crate) struct Queue<J>(SyncSender<J>);

impl<J> Queue<J> {
    /// Gives the job back where there is no room.
    pub(crate) fn offer(&self, job: J) -> Result<(), J> {
        self.0.try_send(job).map_err(|e| match e {
            std::sync::mpsc::TrySendError::Full(job) | std::sync::mpsc::TrySendError::Disconnected(job) => {
                job
            }
        })
    }
}

fn pool<J: Send + 'static>(name: &str, threads: usize, work: impl Fn(J) + Send + Sync + 'static) -> Queue<J> {
    let (queue, jobs) = sync_channel::<J>(MOST_WAITING);
    let (jobs, work) = (Arc::new(Mutex::new(jobs)), Arc::new(work));
    for _ in 0..threads {
        let (jobs, work) = (jobs.clone(), work.clone());
        let next = move || take(&jobs);
        let run = move || {
            while let Some(job) = next() {
                work(job);
            }
        };
        if let Err(e) = thread::Builder::new().name(name.into()).spawn(run) {
            tracing::warn!("cluster: a thread could not be started ({e})");
        }
    }
    Queue(queue)
}

fn take<J>(jobs: &Mutex<Receiver<J>>) -> Option<J> {
    jobs.lock().unwrap_or_else(std::sync::PoisonError::into_inner).recv().ok()
}

fn agent(timeout: Option<Duration>, idle: usize) -> Agent {
    Agent::config_builder()
        .timeout_global(timeout)
        .http_status_as_error(false)
        .max_redirects(0)
        // An environment variable must not send claims elsewhere.
        .proxy(None)
        .max_idle_connections(idle)
        .max_idle_connections_per_host(idle)
        .user_agent("snowfield")
        .build()
        .into()
}

/// Threads that call the store and tell the brain.
pub(crate) fn store_pool(
    settings: &Settings,
    threads: usize,
    events: &SyncSender<Event>,
) -> Option<Queue<StoreJob>> {
    let StoreAt::Consul { address, prefix, timeout, token_file } = settings.store.clone() else {
        return None;
    };
    let token = Token::of(token_file);
    let (events, keys) = (events.clone(), Keys { prefix });
    let (agent, instance) = (agent(Some(timeout), threads), settings.name.clone());
    Some(pool("claims", threads, move |job| {
        let ask = |request: Request| ask(&agent, address, &token, &request);
        let event = match job {
            StoreJob::Open => Event::Opened(open(&keys, &instance, &ask)),
            StoreJob::Renew(session) => {
                let answer = ask(Keys::renew(&session)).and_then(|a| Keys::renewed(&a));
                Event::Renewed(session, answer)
            }
            StoreJob::Read { call, names } => Event::Read(call, read(&keys, &names, &ask), names),
            StoreJob::Put { call, name, record, index, session } => {
                let put = match ask(keys.put(&session, &name, &record, index)) {
                    Ok(answer) => keys.claimed(&answer, &name),
                    Err(failure) => Put::Failed(failure),
                };
                Event::Put(call, name, record, put)
            }
            StoreJob::Close(session, done) => {
                // Where it fails the session ends by itself.
                let _ = ask(Keys::close(&session));
                let _ = done.send(());
                return;
            }
        };
        let _ = events.send(event);
    }))
}

fn open(
    keys: &Keys,
    instance: &str,
    ask: &dyn Fn(Request) -> Result<Answer, Failure>,
) -> Result<Session, Failure> {
    let session = keys.opened(&ask(keys.open(instance, TTL_S))?)?;
    if Keys::holds(&ask(keys.hold(&session, instance))?)? {
        Ok(session)
    } else {
        Err(Failure::NotApplied("the session's own key is held by another".into()))
    }
}

/// One name is read alone, more of them with the whole list.
fn read(
    keys: &Keys,
    names: &[String],
    ask: &dyn Fn(Request) -> Result<Answer, Failure>,
) -> Result<Listing, Failure> {
    let one = if let [one] = names { Some(one.as_str()) } else { None };
    let mut listing = keys.found(&ask(keys.read(one))?, names)?;
    if one.is_some() {
        // A query of one key tells that key's index, which says nothing of the store's.
        listing.index = 0;
    }
    Ok(listing)
}

/// One request to the store.
fn ask(agent: &Agent, address: SocketAddr, token: &Token, request: &Request) -> Result<Answer, Failure> {
    let url = format!("http://{address}{}", request.target);
    let token = token.get().map(|token| ("X-Consul-Token", token));
    let answer = match request.method {
        "GET" => token.into_iter().fold(agent.get(&url), |r, (name, value)| r.header(name, value)).call(),
        _ => {
            let put = token.into_iter().fold(agent.put(&url), |r, (name, value)| r.header(name, value));
            put.send(request.body.as_bytes())
        }
    };
    let mut answer = answer.map_err(|e| failure(&e))?;
    let index =
        answer.headers().get("x-consul-index").and_then(|v| v.to_str().ok()).and_then(|v| v.parse().ok());
    let body = answer.body_mut().with_config().limit(LARGEST.0).read_to_vec();
    let body = body.map_err(|e| Failure::Unknown(e.to_string()))?;
    Ok(Answer { status: answer.status().as_u16(), index: index.unwrap_or(0), body })
}

/// Only what failed while the connection was made was surely not applied.
fn failure(error: &ureq::Error) -> Failure {
    let reason = error.to_string();
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => {
            Failure::NotApplied(reason)
        }
        ureq::Error::Io(e) if e.kind() == ErrorKind::ConnectionRefused => Failure::NotApplied(reason),
        _ => Failure::Unknown(reason),
    }
}

/// Threads that carry out runs and tell the brain.
pub(crate) fn run_pool(
    settings: &Settings,
    clocks: Clocks,
    events: &SyncSender<Event>,
) -> Queue<(Run, Doing)> {
    let (events, instance) = (events.clone(), settings.name.clone());
    // No connection is kept: one that the other side has just closed could not be told from a run that may have run.
    let agent = agent(None, 0);
    pool("duties", settings.runners, move |(run, doing): (Run, Doing)| {
        // The last look before anything goes out: a pause may have come after the claim.
        let outcome = if run.in_time(clocks.now()) {
            carry_out(&agent, &instance, &run, &doing)
        } else {
            Outcome::Late
        };
        let _ = events.send(Event::Ran(run, doing, outcome));
    })
}

fn carry_out(agent: &Agent, instance: &str, run: &Run, doing: &Doing) -> Outcome {
    let (round, before) = (run.round.to_string(), run.before_wall.to_string());
    // As the operator's file names it.
    let duty = run.duty.strip_prefix(CALL).unwrap_or(&run.duty);
    let answer = match doing {
        Doing::Call { url, timeout } => agent
            .post(url)
            .config()
            .timeout_global(Some(*timeout))
            .build()
            .header("Snowfield-By", instance)
            .header("Snowfield-Duty", duty)
            .header("Snowfield-Round", round)
            .header("Snowfield-Before", before)
            .send_empty(),
        Doing::Probe { address, path, timeout, .. } => agent
            .get(format!("http://{address}{path}"))
            .config()
            .timeout_global(Some(*timeout))
            .build()
            .header("Snowfield-Round", round)
            .call(),
    };
    match answer {
        Ok(mut answer) => {
            let status = answer.status().as_u16();
            // An answer that does not end is none.
            match answer.body_mut().with_config().limit(LARGEST.1).read_to_vec() {
                Ok(_) => Outcome::Status(status),
                Err(e) => Outcome::Failed(e.to_string()),
            }
        }
        Err(e) => Outcome::Failed(e.to_string()),
    }
}

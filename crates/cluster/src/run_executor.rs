//! The execution of runs: HTTP calls and health checks.

use crate::clocks::Clocks;
use crate::worker_pool::TaskQueue;
use crate::{http_agent, job_names};
use periodic_jobs::Run;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::{Agent, Body, RequestBuilder, http};

/// The maximum size of a response body.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024;
/// The request header with the name of the instance that executes the run.
const INSTANCE_HEADER: &str = "Snowfield-By";
/// The request header with the name of the job.
const JOB_HEADER: &str = "Snowfield-Duty";
/// The request header with the id of the run, which is the fencing token.
const RUN_HEADER: &str = "Snowfield-Round";
/// The request header with the deadline for the start of the run, in Unix milliseconds.
const DEADLINE_HEADER: &str = "Snowfield-Before";

/// The work that a run does.
#[derive(Clone, Debug)]
pub(crate) enum RunTask {
    HttpCall { url: String, timeout: Duration },
    HealthCheck { backend_id: String, address: SocketAddr, path: String, timeout: Duration },
}

/// The HTTP status with which a run ended, or why the run has none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RunOutcome {
    /// The target responded with this HTTP status.
    Status(u16),
    /// No complete response was received, because of this error.
    Failed(String),
    /// The run did not start because its deadline had passed. The process was paused or a clock was stepped.
    DeadlinePassed,
}

impl RunOutcome {
    /// Returns whether the target responded with a status from 200 to 299.
    pub(crate) fn is_success(&self) -> bool {
        matches!(self, Self::Status(200..=299))
    }

    /// Returns the reason why the run failed, as text for the log.
    pub(crate) fn reason(&self) -> String {
        match self {
            Self::Status(status) => format!("status {status}"),
            Self::Failed(reason) => reason.clone(),
            Self::DeadlinePassed => "the deadline of the run passed before the run started".into(),
        }
    }
}

/// A run that waits for a worker thread.
#[derive(Debug)]
pub(crate) struct PendingRun {
    pub(crate) run: Run,
    pub(crate) task: RunTask,
}

/// A run with its outcome.
#[derive(Debug)]
pub(crate) struct FinishedRun {
    pub(crate) run: Run,
    pub(crate) task: RunTask,
    pub(crate) outcome: RunOutcome,
}

/// Starts the worker threads that execute runs and pass the outcomes to `on_finished`.
pub(crate) fn start(
    instance_name: &str,
    thread_count: usize,
    clocks: Clocks,
    on_finished: impl Fn(FinishedRun) + Send + Sync + 'static,
) -> TaskQueue<PendingRun> {
    let executor = RunExecutor { agent: agent(), instance_name: instance_name.to_owned() };
    TaskQueue::start("job-runs", thread_count, move |PendingRun { run, task }: PendingRun| {
        // Check the deadline just before the run, because the process may have been paused since it acquired the lease.
        let outcome = if run.may_start(clocks.now()) {
            executor.execute(&run, &task)
        } else {
            RunOutcome::DeadlinePassed
        };
        on_finished(FinishedRun { run, task, outcome });
    })
}

fn agent() -> Agent {
    http_agent::config_builder()
        // Do not reuse connections. On a connection that the target has just closed, an unsent request is
        // indistinguishable from one that the target may have executed.
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .build()
        .into()
}

struct RunExecutor {
    agent: Agent,
    instance_name: String,
}

impl RunExecutor {
    fn execute(&self, run: &Run, task: &RunTask) -> RunOutcome {
        let response = match task {
            RunTask::HttpCall { url, timeout } => self.send_http_call(run, url, *timeout),
            RunTask::HealthCheck { address, path, timeout, .. } => {
                self.send_health_check(run, &format!("http://{address}{path}"), *timeout)
            }
        };
        match response.and_then(read_status) {
            Ok(status) => RunOutcome::Status(status),
            Err(e) => RunOutcome::Failed(e.to_string()),
        }
    }

    fn send_http_call(
        &self,
        run: &Run,
        url: &str,
        timeout: Duration,
    ) -> Result<http::Response<Body>, ureq::Error> {
        with_timeout(self.agent.post(url), timeout)
            .header(INSTANCE_HEADER, &self.instance_name)
            .header(JOB_HEADER, job_names::configured_name(&run.job))
            .header(RUN_HEADER, run.id.to_string())
            .header(DEADLINE_HEADER, run.deadline.unix.as_millis().to_string())
            .send_empty()
    }

    fn send_health_check(
        &self,
        run: &Run,
        url: &str,
        timeout: Duration,
    ) -> Result<http::Response<Body>, ureq::Error> {
        with_timeout(self.agent.get(url), timeout).header(RUN_HEADER, run.id.to_string()).call()
    }
}

fn with_timeout<B>(request: RequestBuilder<B>, timeout: Duration) -> RequestBuilder<B> {
    request.config().timeout_global(Some(timeout)).build()
}

/// Reads a response to its end and returns its status. A truncated or oversized response is an error.
fn read_status(mut response: http::Response<Body>) -> Result<u16, ureq::Error> {
    response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec()?;
    Ok(response.status().as_u16())
}

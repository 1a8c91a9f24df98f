//! The names of jobs in the lease store, and the names of the broadcast topics of health reports. Both must not change, because
//! instances of all versions share them.

/// The prefix of the names of HTTP jobs.
const HTTP_JOB_PREFIX: &str = "call/";
/// The prefix of the names of health checks, which are also the topics of their reports.
const HEALTH_CHECK_PREFIX: &str = "probe/";

/// Returns the job name of the HTTP job whose name in the settings is `name`.
pub(crate) fn http_job(name: &str) -> String {
    format!("{HTTP_JOB_PREFIX}{name}")
}

/// Returns the name that an HTTP job has in the settings.
pub(crate) fn configured_name(job: &str) -> &str {
    job.strip_prefix(HTTP_JOB_PREFIX).unwrap_or(job)
}

/// Returns the name of the job that checks a backend.
pub(crate) fn health_check(backend_id: &str) -> String {
    format!("{HEALTH_CHECK_PREFIX}{backend_id}")
}

/// Returns the id of the backend that a job checks, or that a topic reports on. Returns `None` for other jobs.
pub(crate) fn checked_backend(job: &str) -> Option<&str> {
    job.strip_prefix(HEALTH_CHECK_PREFIX)
}

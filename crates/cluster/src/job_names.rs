//! The names of jobs in the lease store, and of the broadcast topics of health reports. Instances of all versions share
//! them.

/// In front of the names of HTTP jobs.
const HTTP_JOB_PREFIX: &str = "call/";
/// In front of the ids of backends in the names of health checks, which are also the topics of their reports.
const HEALTH_CHECK_PREFIX: &str = "probe/";

/// The job of an HTTP job with this name in the operator's file.
pub(crate) fn http_job(name: &str) -> String {
    format!("{HTTP_JOB_PREFIX}{name}")
}

/// A job's name as the operator's file has it.
pub(crate) fn configured_name(job: &str) -> &str {
    job.strip_prefix(HTTP_JOB_PREFIX).unwrap_or(job)
}

/// The job that checks a backend.
pub(crate) fn health_check(backend_id: &str) -> String {
    format!("{HEALTH_CHECK_PREFIX}{backend_id}")
}

/// The id of the backend that a job checks, or that a topic reports on; `None` for other jobs.
pub(crate) fn checked_backend(job: &str) -> Option<&str> {
    job.strip_prefix(HEALTH_CHECK_PREFIX)
}

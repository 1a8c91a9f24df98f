//! The configured jobs and the tasks of their runs.

use crate::job_names;
use crate::run_executor::RunTask;
use crate::settings::{Backend, HealthChecks, HttpJob};
use periodic_jobs::{Job, Run};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The HTTP jobs, and the health checks of the backends.
#[derive(Debug)]
pub(crate) struct JobTable {
    /// HTTP jobs by job name.
    http_jobs: BTreeMap<String, HttpJob>,
    /// Addresses of backends by id.
    backends: BTreeMap<String, SocketAddr>,
    health_checks: Option<HealthChecks>,
}

impl JobTable {
    /// Creates a table without jobs. Backends are checked only if there are settings for health checks.
    pub(crate) fn new(health_checks: Option<HealthChecks>) -> Self {
        Self { http_jobs: BTreeMap::new(), backends: BTreeMap::new(), health_checks }
    }

    pub(crate) fn set_http_jobs(&mut self, jobs: Vec<HttpJob>) {
        self.http_jobs = jobs.into_iter().map(|job| (job_names::http_job(&job.name), job)).collect();
    }

    pub(crate) fn set_backends(&mut self, backends: Vec<Backend>) {
        self.backends = backends.into_iter().map(|backend| (backend.id, backend.address)).collect();
    }

    pub(crate) fn backend_ids(&self) -> impl Iterator<Item = String> {
        self.backends.keys().cloned()
    }

    pub(crate) fn has_backend(&self, id: &str) -> bool {
        self.backends.contains_key(id)
    }

    /// Returns the jobs for the scheduler: the HTTP jobs, and a health check per backend.
    pub(crate) fn jobs(&self) -> Vec<Job> {
        let http_jobs =
            self.http_jobs.iter().map(|(name, job)| Job { name: name.clone(), period: job.period });
        let check_period = self.health_checks.as_ref().map(|checks| checks.config.period);
        let health_check =
            |id: &String| Some(Job { name: job_names::health_check(id), period: check_period? });
        http_jobs.chain(self.backends.keys().filter_map(health_check)).collect()
    }

    /// Returns the task of a run, or `None` if its job or backend has been removed.
    pub(crate) fn task(&self, run: &Run) -> Option<RunTask> {
        if let Some(job) = self.http_jobs.get(&run.job) {
            return Some(RunTask::HttpCall { url: job.url.clone(), timeout: job.timeout });
        }
        let checks = self.health_checks.as_ref()?;
        let backend_id = job_names::checked_backend(&run.job)?;
        Some(RunTask::HealthCheck {
            backend_id: backend_id.to_owned(),
            address: *self.backends.get(backend_id)?,
            path: checks.path.clone(),
            timeout: checks.timeout,
        })
    }
}

#[cfg(test)]
mod tests;

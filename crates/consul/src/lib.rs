//! The client of Consul's HTTP API: one thread for each watched service, one for this program's own registration. What the
//! responses mean is decided in the package `catalogue`; here are the calls, the token, the cache file and the log.
//!
//! Nothing here runs on the `may` worker thread. Connections are kept alive between queries (`ureq`), and compressed bodies
//! are accepted.

mod cache_file;
mod config;
mod error;
mod health_client;
mod http_agent;
mod last_answers;
mod registration;
mod sync;
mod token_file;
mod watch;

pub use cache_file::{CacheFile, CachedInstances};
pub use config::{ConsulConfig, WatchConfig};
pub use error::{CacheFileError, QueryError, TokenError};
pub use last_answers::LastAnswers;
pub use registration::{RegistrationConfig, RegistrationHandle, register};
pub use token_file::TokenFile;
pub use watch::{EndpointStatus, HasAttempts, NUMBERS_PER_SERVICE, OnListChange, ServiceWatch, WatchStatus};

//! Client of Consul's HTTP API, with one thread for each watched service and one for the registration of this process.
//!
//! The package `catalogue` interprets the responses. This package makes the HTTP calls, reads the token file, maintains the cache
//! file, and logs changes.
//!
//! No code of this package blocks the `may` worker threads. Connections are kept alive between queries (`ureq`), and compressed
//! bodies are accepted.

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

//! The client of Consul's HTTP API: one thread for each watched service, one for this program's own registration. What the
//! responses mean is decided in the package `catalogue`; here are the calls, the token, the cache file and the log.
//!
//! Nothing here runs on the `may` worker thread. Connections are kept alive between queries (`ureq`), and compressed bodies
//! are accepted.

mod cache_file;
mod health_query;
mod registration;
mod token_file;
mod watch;

pub use cache_file::CacheFile;
pub use health_query::ConsulConfig;
pub use registration::{RegistrationHandle, register};
pub use token_file::TokenFile;
pub use watch::{HasAttempts, LastAnswers, NUMBERS_PER_SERVICE, OnListChange, ServiceWatch, WatchConfig};

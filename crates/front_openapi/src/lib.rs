//! The HTTP/1.1 front, whose routes and costs come from OpenAPI descriptions.
//!
//! The method and path of a request select its route, and the route its units and request class. A configured header names the
//! tenant; the tenant's plan comes from the configuration, never from the client. As for every front, the exchange makes all
//! admission decisions.

mod client_connection;
mod config;
mod connection_end;
mod front;
mod problem;
mod receive;
mod report;
mod resolve;
mod serve;

pub use config::{FrontConfig, RouteClass, Tenant};
pub use front::{Front, HttpExchange};
pub use report::RouteCounts;

//! The front whose routes and costs come from OpenAPI descriptions: HTTP/1.1 in, requests to the exchange out.
//!
//! A request's method and path select a route, and the route its units and class; a configured header names the tenant, and
//! the configuration, not the client, names the tenant's plan. The exchange decides as it does for every front.

mod client_connection;
mod config;
mod front;
mod problem;
mod report;
mod resolve;
mod serve;

pub use config::{FrontConfig, RouteClass, Tenant};
pub use front::{Front, HttpExchange};
pub use report::RouteCounts;

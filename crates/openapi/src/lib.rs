//! OpenAPI descriptions read into a table of routes, each with its units and its class.
//!
//! Four extensions state what OpenAPI cannot:
//!
//! | extension | where | value |
//! | --- | --- | --- |
//! | `x-snowfield-units` | an operation | the units that it takes from its tenant's quota, above 0 |
//! | `x-snowfield-class` | an operation | the name of its class of requests |
//! | `x-snowfield-service` | an operation | the name of the service that serves it, if not the configured one |
//! | `x-snowfield-default` | the description or a path | an object with any of `units`, `class` and `service`, for operations that state none |
//!
//! The nearest statement counts: the operation's own, then its path's default, then the description's. An operation for
//! which none states the units, or none the class, is rejected by name, as is any other `x-snowfield-` extension. What
//! cannot be served as described is rejected too; nothing is guessed.
//!
//! "Operation" is OpenAPI's word for a method of a path.

mod description;
mod error;
mod extensions;
mod node;
mod reference;
mod route_table;
mod servers;
mod template;

pub use description::Description;
pub use error::{DescriptionError, LoadError, PathError, TemplateError};
pub use route_table::{Route, RouteMatch, RouteTable};

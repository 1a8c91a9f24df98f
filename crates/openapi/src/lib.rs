//! Builds a route table from OpenAPI descriptions. Each route has a cost in units and a class of requests.
//!
//! Four extensions add what OpenAPI cannot express:
//!
//! | extension | where | value |
//! | --- | --- | --- |
//! | `x-snowfield-units` | an operation | the units that a request takes from its tenant's quota, above 0 |
//! | `x-snowfield-class` | an operation | the name of the class that its requests belong to |
//! | `x-snowfield-service` | an operation | the name of the service that serves it; by default the service in the configuration |
//! | `x-snowfield-default` | the description or a path | an object with any of `units`, `class` and `service`, for operations without their own |
//!
//! The most specific value applies: the operation's own, then the default of its path, then the default of the description. An
//! operation without units or without a class is an error that names the operation, and so is any other `x-snowfield-` extension.
//! A description that cannot be served exactly as written is rejected.
//!
//! "Operation" is OpenAPI's term for a method of a path.

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

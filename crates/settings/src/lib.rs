//! Configuration files: parsing, validation, and conversion to the settings of the policy.
//!
//! [`platform`] parses the JSON file of a gatekeeper on the platform, and [`appliance`] the TOML file of the appliance.

pub mod appliance;
mod endpoint_list;
mod error;
mod json;
mod key_set;
mod numbering;
pub mod platform;
mod validation;

pub use endpoint_list::{Endpoint, EndpointList};
pub use error::SettingsError;
pub use key_set::KeySet;
pub use numbering::{NumberedClass, NumberedPlan, Numbering};

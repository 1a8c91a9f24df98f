//! The configuration files: what they say, whether it can be used, and the policy's settings that follow from it.
//!
//! [`platform`] has the JSON file of a gatekeeper on the platform, [`appliance`] the TOML file of the appliance. Both become
//! settings of the policy in the end.

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

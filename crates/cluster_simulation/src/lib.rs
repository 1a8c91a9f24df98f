//! A deterministic simulation of a cluster. It drives the state machines of the packages `membership`, `periodic_jobs` and
//! `job_lease` as `snowfield` does, but in simulated time, with a lease store and a network that can be made to fail. The same
//! seed gives the same sequence of events.

mod config;
mod counts;
mod event;
mod instance;
mod network;
mod simulation;
mod store;

pub use config::SimulationConfig;
pub use counts::Counts;
pub use network::StoreAccess;
pub use simulation::{Simulation, View};
pub use store::StoreFault;

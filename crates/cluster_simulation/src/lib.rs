//! A cluster of the pure crates in simulated time: `membership`, `periodic_jobs` and `job_lease` as the program drives them,
//! with a lease store and a network that can be made to fail. The same seed gives the same course, to the millisecond.

mod config;
mod counts;
mod event;
mod instance;
mod network;
mod simulation;
mod store;

pub use config::SimulationConfig;
pub use counts::Counts;
pub use simulation::{Simulation, View};
pub use store::StoreFault;

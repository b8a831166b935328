//! Simulated daemons, upstreams and a store for random schedules of faults.

mod delivery;
mod kinds;
mod store;
mod upstream;
mod world;

pub use kinds::{Flaw, Report, Restart};
pub use store::Store;
pub use upstream::{KEYS, Upstream};
pub use world::Cluster;

//! Simulated daemons, upstreams and a store for random schedules of faults.

#![allow(dead_code, reason = "each test file uses a part of this module")]

mod delivery;
mod kinds;
mod store;
mod upstream;
mod world;

pub use kinds::{Event, Flaw, Report, Restart};
pub use store::Store;
pub use upstream::{KEYS, Upstream};
pub use world::Cluster;

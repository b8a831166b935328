//! Which other daemons there are.

mod registry;

pub use registry::PeerRegistry;

//! The other daemons of the deployment.

mod registry;

pub use registry::PeerRegistry;

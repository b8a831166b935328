//! The other daemons of the deployment.

mod registry;
mod relay;

pub use registry::PeerRegistry;
pub use relay::{DIRECT_RECEIVERS_MAX, RelayGroup, SuspensionGuard, relay_groups};

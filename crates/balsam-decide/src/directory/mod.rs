//! Which upstreams exist, as this daemon believes.
//!
//! See [the platform page](../../../../docs/platform.md#upstreams).

mod discovered;
mod machine;
mod outcome;

pub use discovered::{DiscoveredUpstream, Upstreams};
pub use machine::{Directory, DirectoryInput, LAPSE_GRACE_MS};
pub use outcome::{DiscoveryNotice, DiscoveryOutcome};

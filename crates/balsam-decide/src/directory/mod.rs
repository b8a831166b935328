//! The directory of upstreams that this daemon knows from the platform's list.
//!
//! See [the platform page](../../../../docs/platform.md#upstreams).

mod discovered;
mod machine;
mod outcome;

pub use discovered::{DiscoveredUpstream, Upstreams};
pub use machine::{Directory, DirectoryInput, EXPIRY_GRACE_MS};
pub use outcome::{DiscoveryNotice, DiscoveryOutcome};

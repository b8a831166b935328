//! Membership: pulse exchanges, suspicion and the adopted epoch of each peer.
//!
//! See [the design page, section 5.2](../../../../docs/design.md#52-membership-and-placer).

mod peers;

pub use peers::{LATE_MS, Membership};

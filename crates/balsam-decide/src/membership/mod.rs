//! Membership: when each peer was last heard from, which peers are suspected, and their epochs.
//!
//! See [the design page, section 5.2](../../../../docs/design.md#52-membership-and-placer).

mod peers;

pub use peers::{LATE_MS, Membership};

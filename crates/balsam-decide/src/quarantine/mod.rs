//! The quarantine, which refuses requests that are equal to ones that crashed upstreams.
//!
//! See [the design page, section 8](../../../../docs/design.md#8-outcomes-and-orders).

mod fingerprint;
mod machine;
mod message;
mod tally;

pub use fingerprint::{BodyDigest, fingerprint};
pub use machine::Quarantine;
pub use message::{CrashCount, QuarantineInput, QuarantineOutput, QuarantinePolicy};

//! The freshness right: a daemon's lease to act on its control epoch.
//!
//! [`FreshnessLease`] dates the right from table reads and rounds of statements, and [`AdoptionTracker`] tells when
//! every right of an older epoch has lapsed. See
//! [the design page, section 5](../../../../docs/design.md#5-freshness-right).

mod adoption;
mod freshness_lease;
mod safeguard;

pub use adoption::AdoptionTracker;
pub use freshness_lease::FreshnessLease;
pub use safeguard::Safeguard;

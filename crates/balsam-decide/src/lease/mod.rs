//! The freshness lease, under which a daemon may act on the control epoch that it has adopted.
//!
//! A daemon that holds the lease knows that no newer epoch can have replaced the owner of a unit.
//! [`FreshnessLease`] is renewed by table reads and by heartbeat rounds that a majority of the
//! roster acknowledges. [`AdoptionTracker`] tells when every lease of an older epoch has expired.
//! The operator interface and the design page call the lease the freshness right. See
//! [the design page, section 5](../../../../docs/design.md#5-freshness-lease).

mod adoption;
mod freshness_lease;
mod safeguard;

pub use adoption::AdoptionTracker;
pub use freshness_lease::FreshnessLease;
pub use safeguard::Safeguard;

//! The freshness right: a daemon's lease to act on its control epoch.
//!
//! [`Rights`] dates the right from table reads and rounds of statements, and [`Adoption`] tells when
//! every right of an older epoch has lapsed. See
//! [the design page, section 5](../../../../docs/design.md#5-freshness-right).

mod adoption;
mod right;
mod safeguard;

pub use adoption::Adoption;
pub use right::Rights;
pub use safeguard::Safeguard;

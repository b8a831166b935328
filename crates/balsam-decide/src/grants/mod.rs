//! Grants: leases under which an upstream may run requests on its units.
//!
//! The [`Issuer`] is the daemon's side and the [`Holder`] the upstream's side. See
//! [the design page, section 5.1](../../../../docs/design.md#51-grants).

mod holder;
mod issuer;
mod message;

pub use holder::{Holder, HolderSafeguard, RefusalReason, RunningRequestId, WorkRequest};
pub use issuer::{GrantHealth, Issuer};
pub use message::{
    Grant, GrantReply, GrantUnits, GrantVerdict, GrantedUnits, Revoke, RevokeReply, UnitsDigest,
};

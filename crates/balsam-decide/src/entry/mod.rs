//! Admission control: the limits on requests and body bytes that one entry daemon holds.
//!
//! See [the design page, section 7](../../../../docs/design.md#7-dispatch-and-limits).

mod admission;
mod message;

pub use admission::EntryAdmission;
pub use message::{Arrival, EntryLimits, EntryRank, EntryTicket};

//! The admission filter, which limits the requests and body buffers of this entry daemon by rank
//! and member.
//!
//! One task owns the limits. See
//! [the design page, section 7](../../../../../docs/design.md#7-dispatch-and-limits).

mod body;
mod fingerprint;
mod task;

pub(crate) use body::{CallerBody, read_body};
pub(crate) use fingerprint::fingerprint;
pub(crate) use task::{Admission, AdmissionPermit, start_admission};

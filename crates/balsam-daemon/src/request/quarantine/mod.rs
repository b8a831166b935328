//! The task that counts requests that break their upstream connections and quarantines repeated
//! ones.
//!
//! See [the design page, section 8](../../../../../docs/design.md#8-outcomes-and-orders).

mod handle;
mod task;

pub(crate) use handle::CrashReporter;
pub(crate) use task::start_quarantine;

//! The filter that queues requests for an upstream's slots.
//!
//! One task per upstream owns its queue, slots and idle connections. See
//! [the design page, section 7](../../../../../docs/design.md#7-dispatch-and-limits).

mod handle;
mod policy;
mod registry;
mod task;

pub(crate) use handle::{DispatchWork, Dispatchers};
pub(crate) use registry::{DispatchContext, start_dispatchers};

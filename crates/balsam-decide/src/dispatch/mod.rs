//! Queueing of requests and allocation of slots for one upstream, at its dispatcher.
//!
//! A slot lets one request run at the upstream.
//!
//! See [the design page, section 7](../../../../docs/design.md#7-dispatch-and-limits).

mod dispatcher;
mod limit;
mod load;
mod message;
mod rank;
mod service_time;

pub use dispatcher::Dispatch;
pub use message::{
    DispatchInput, DispatchOutput, DispatchPolicy, LoadSample, QueuedRequest, SlotResult, Ticket,
};

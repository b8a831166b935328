//! Stand-in for an upstream: grants, slots, ranks of work, downloads, faults and a journal.
//!
//! A request passes `identify` → `admit` → `perform` → `answer`; each asks the state task.
//! See [the design page, section 9.4](../../../../docs/design.md#94-upstream-http--json-control-plain-http-work-stand-in-balsam-upstream).

mod admit;
mod answer;
mod content;
mod control;
mod execution;
mod identify;
mod journal;
mod message;
mod options;
mod perform;
mod range;
mod reports;
mod server;
mod state;
mod state_task;

pub use content::Content;
pub use journal::Journal;
pub use message::{
    ControlReply, ControlRequest, Effect, ExecutionId, Finish, Identity, Started, WorkHead,
};
pub use options::{OptionError, RankAmount, UpstreamOptions};
pub use range::{ByteRange, RangeError, wanted_range};
pub use reports::Reports;
pub use server::start_upstream;
pub use state::UpstreamState;

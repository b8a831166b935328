//! Stand-in for the platform: table, objects, instance list and fault switches.
//!
//! A request passes `route` → `fault` → the state task → `answer`.
//! See [the design page, section 9.3](../../../../docs/design.md#93-platform-http--json-stand-in-balsam-platform).

mod answer;
mod fault;
mod instances;
mod message;
mod route;
mod server;
mod state;
mod state_task;
mod table;

pub use instances::InstanceList;
pub use message::{PlatformReply, PlatformRequest};
pub use server::start_platform;
pub use state::PlatformState;
pub use table::Table;

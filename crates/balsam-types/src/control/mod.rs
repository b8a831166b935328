//! Data types of the control state: daemons, upstreams, unit moves and change log entries.
//!
//! See [the design page, section 4](../../../../docs/design.md#4-control-state).

mod change;
mod daemon;
mod instance;
mod placement;
mod quarantine;
mod upstream;

pub use change::{Change, LogEntry, RemovalReason};
pub use daemon::DaemonInfo;
pub use instance::{Instance, InstanceKind, InstanceState};
pub use placement::{MoveReason, UnitMove, UnitOwner};
pub use quarantine::QuarantineEntry;
pub use upstream::{UpstreamInfo, UpstreamStatus};

//! The control decisions of one daemon, as one state machine.
//!
//! The `Node` folds the change log, keeps the freshness right, watches peers and upstreams, and,
//! while its daemon is the placer, moves units. See
//! [the design page, section 5](../../../../docs/design.md#5-freshness-right).

mod commands;
mod commits;
mod dispatching;
mod input;
mod leaving;
mod log;
mod machine;
mod output;
mod publish;
mod pulses;
mod table;
mod view;

pub use input::{
    CommitResult, Heartbeat, HeartbeatReply, NodeInput, OperatorCommand, TableResult,
    UpstreamReport,
};
pub use machine::Node;
pub use output::{
    ChangesBody, CommandFailure, CommandResult, Decision, NodeOutput, PeerEndpoint, PeerEpoch,
    RequestId,
};
pub use view::{Location, View, acting_dispatcher, rendezvous_weight};

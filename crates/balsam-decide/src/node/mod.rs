//! The control decisions of one daemon, as one state machine.
//!
//! A [`Node`] applies the change log to its copy of the control state, renews its freshness lease
//! and monitors peers and upstreams. While its daemon is the placer (the elected daemon that
//! assigns units to upstreams), it also moves units. See
//! [the design page, section 5](../../../../docs/design.md#5-freshness-lease).

mod commands;
mod commits;
mod heartbeats;
mod input;
mod leaving;
mod log;
mod machine;
mod output;
mod publish;
mod table;
mod upstream_sessions;
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

//! Datagrams between daemons: heartbeats of the leader, its assignments, changes of the store's
//! tables, and reports of busy keys.
//!
//! Whatever a lost datagram had said is repeated or read from the store.

mod message;
mod snapshot;
mod task;

pub(crate) use message::{
    Greeting, Heartbeat, Part, PeerMessage, PeerOutput, RangesDelta, Topic, UpstreamNews,
    UpstreamsDelta,
};
pub(crate) use snapshot::{Snapshot, Snapshots, divide};
pub(crate) use task::{PeerSocket, PeerTask};

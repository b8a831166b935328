//! Datagrams between daemons: heartbeats of the leader, its assignments, changes of the store's
//! tables, and reports of frequently requested keys.
//!
//! Delivery is not guaranteed. The content of a lost datagram is sent again or read from the store.

mod message;
mod snapshot;
mod task;

pub(crate) use message::{
    FollowerStatus, Heartbeat, Part, PeerMessage, PeerOutput, RangesDelta, Topic, UpstreamChange,
    UpstreamsDelta,
};
pub use snapshot::{Snapshot, decode_snapshot, encode_snapshot};
pub(crate) use snapshot::{SnapshotAssembler, split_snapshot};
pub(crate) use task::{PeerSocket, PeerTask};

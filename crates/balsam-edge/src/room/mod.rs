//! The room of upstreams: the task of this daemon's keeper, and the channels to it and from it.
//!
//! See [the design note](../../../../docs/design/hard-load.md).

mod link;
mod task;

pub(crate) use link::{RoomChannels, RoomDelivery, RoomLink, room_ports};
pub(crate) use task::KeeperTask;

//! Datagrams between daemons: signs of life of the giver, its assignments, and samples of busy
//! keys.
//!
//! Whatever a lost datagram had said is repeated or read from the store.

mod book;
mod message;
mod task;

pub(crate) use book::PeerBook;
pub(crate) use message::{
    Beacon, Greeting, PeerMessage, PeerOutput, RangesDelta, UpstreamNews, UpstreamsDelta,
};
pub(crate) use task::PeerTask;

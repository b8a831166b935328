//! Datagrams between daemons: signs of life of the giver, and samples of busy keys.
//!
//! Both are repeated, so that a lost datagram needs no answer.

mod book;
mod message;
mod task;

pub(crate) use book::PeerBook;
pub(crate) use message::{PeerMessage, PeerOutput};
pub(crate) use task::PeerTask;

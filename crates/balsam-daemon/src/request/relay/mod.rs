//! The filter between the entry daemon and the dispatcher daemon.
//!
//! [`send`] is the entry daemon's side, [`start_incoming`] the dispatcher's.

mod incoming;
mod outgoing;

pub(crate) use incoming::start_incoming;
pub(crate) use outgoing::send;

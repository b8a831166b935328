//! The filter that relays requests from the entry daemon to the dispatcher daemon.
//!
//! [`send`] is the entry daemon's side, [`start_relay_server`] the dispatcher's side.

mod incoming;
mod outgoing;

pub(crate) use incoming::start_relay_server;
pub(crate) use outgoing::send;

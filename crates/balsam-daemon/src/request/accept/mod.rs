//! The filter that accepts callers' connections.

mod connection;
mod listener;
mod probe;

pub(crate) use listener::{AcceptSettings, run_listener};

/// How far the daemon has come on its way to a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The daemon serves.
    Running,
    /// The daemon still accepts, but reports that it is not ready and closes answered connections.
    Leaving,
    /// The daemon no longer accepts, and finishes what is in flight.
    Closing,
}

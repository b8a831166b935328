//! The filter that accepts caller connections and answers health probes.

mod connection;
mod listener;
mod probe;

pub(crate) use listener::{AcceptSettings, run_listener};

/// The shutdown phase of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The daemon serves requests and reports that it is ready.
    Running,
    /// The daemon still accepts connections, but reports that it is not ready and closes each
    /// connection after its answer.
    Leaving,
    /// The daemon no longer accepts connections and completes in-flight requests.
    Closing,
}

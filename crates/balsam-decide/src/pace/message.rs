//! Inputs and results of a [`Pace`](super::Pace).

use balsam_types::{TimeMs, WarmupTerms};
use serde::{Deserialize, Serialize};

/// What limits the requests to one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceTerms {
    /// The number of requests that the upstream can run concurrently.
    pub slots: u32,
    /// What the upstream tolerates while it is cold, if that is limited.
    pub warmup: Option<WarmupTerms>,
}

/// Whether a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceVerdict {
    /// It may be sent now.
    Now,
    /// It may be sent at this time at the earliest.
    At(TimeMs),
    /// It may be sent after a request in flight has ended.
    Full,
}

/// How a request to an upstream ended, as far as it tells what the upstream can take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PaceOutcome {
    /// An answer arrived.
    Answered {
        /// The time from sending the request to the answer, in milliseconds.
        took_ms: u32,
        /// The usual time of such a request in the service, in milliseconds, or 0 if it is not
        /// known.
        usual_ms: u32,
    },
    /// The upstream rejected the request without running it.
    Rejected,
    /// The upstream reset the connection.
    Reset,
    /// No answer arrived in time.
    TimedOut,
    /// No connection could be opened.
    Unreachable,
    /// The request was not sent, or its outcome says nothing about the upstream.
    Unused,
}

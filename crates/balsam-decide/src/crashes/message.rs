//! What the watch is told and what it says.

use super::{Crash, CrashCount, CrashReport, CrashedUpstream, Refused};
use balsam_types::Fingerprint;
use serde::{Deserialize, Serialize};

/// What daemons tell each other of crashes. Any of these may be lost, repeated or late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrackerMessage {
    /// Crashes that the sender saw.
    Crashes(Vec<CrashReport>),
    /// The sender, which is the leader, has the reports with these numbers.
    Acknowledged(Vec<u64>),
    /// The sender, which is the leader, suspects a request.
    Suspect {
        /// The request.
        fingerprint: Fingerprint,
        /// The upstreams that did not survive it.
        crashed: Vec<CrashedUpstream>,
    },
    /// An upstream has served a request that was suspected.
    Cleared(Fingerprint),
    /// Requests that the sender refuses; it wants to know which ones the receiver does.
    Refuses(Vec<Refused>),
    /// The answer to that.
    RefusesToo(Vec<Refused>),
}

/// What the watch is told.
#[derive(Clone, Debug)]
pub enum TrackerInput {
    /// An upstream's connection ended under a request of this daemon.
    CrashedUpstream(Crash),
    /// An upstream has served a suspected request of this daemon.
    Served(Fingerprint),
    /// Another daemon has sent a message.
    Heard(TrackerMessage),
    /// The leader's heartbeat names the digest of the requests that it refuses.
    LeaderDigest(u64),
    /// The row of refused requests was read.
    RowRead(Vec<Refused>),
    /// The row was written, or not.
    RowWritten {
        /// Whether the store has it.
        is_done: bool,
    },
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrackerOutput {
    /// Tell the leader.
    SendToLeader(TrackerMessage),
    /// Tell all other daemons.
    Broadcast(TrackerMessage),
    /// Tell the daemon whose message was heard.
    Reply(TrackerMessage),
    /// Write the row of refused requests.
    WriteRow(Vec<Refused>),
    /// Something was decided that a log line should tell.
    Notice(TrackerNotice),
}

/// From where a daemon knows of a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectSource {
    /// A crash that this daemon counted.
    Crash,
    /// The leader.
    Leader,
    /// Another daemon that refuses the request.
    Refusal,
    /// The row in the store.
    Row,
}

impl SuspectSource {
    /// Returns the text used in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Crash => "crash",
            Self::Leader => "leader",
            Self::Refusal => "refusal",
            Self::Row => "row",
        }
    }
}

/// A decision of the watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrackerNotice {
    /// A request is suspected.
    Suspected {
        /// The request.
        fingerprint: Fingerprint,
        /// The upstream that it crashed last, if that is known.
        crashed: Option<CrashedUpstream>,
        /// From where this is known.
        source: SuspectSource,
    },
    /// A crash does not count.
    Ignored {
        /// The crash.
        crash: Crash,
        /// Why.
        count: CrashCount,
    },
    /// A request is no longer suspected.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
        /// The upstreams that it had crashed.
        crashes: usize,
    },
}

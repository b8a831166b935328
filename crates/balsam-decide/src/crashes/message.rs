//! Inputs and outputs of the crash tracker, and its messages between daemons.

use super::{Crash, CrashCount, CrashReport, CrashedUpstream, Refused};
use balsam_types::Fingerprint;
use serde::{Deserialize, Serialize};

/// A message about crashes that one daemon sends to another.
///
/// Each message may be lost, repeated or late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrackerMessage {
    /// Crashes that the sender has observed.
    Crashes(Vec<CrashReport>),
    /// The sender, which is the leader, has received the reports with these numbers.
    Acknowledged(Vec<u64>),
    /// The sender, which is the leader, suspects a request.
    Suspect {
        /// The request.
        fingerprint: Fingerprint,
        /// The upstreams that crashed while processing it.
        crashed: Vec<CrashedUpstream>,
    },
    /// An upstream has served a request that was suspected.
    Cleared(Fingerprint),
    /// Requests that the sender refuses. The receiver replies with those that it refuses itself.
    Refuses(Vec<Refused>),
    /// The reply to `Refuses`: requests that the sender refuses as well.
    RefusesToo(Vec<Refused>),
}

/// An input of the crash tracker.
#[derive(Clone, Debug)]
pub enum TrackerInput {
    /// An upstream's connection ended while the upstream processed a request of this daemon.
    CrashedUpstream(Crash),
    /// An upstream has served a request of this daemon that is suspected.
    Served(Fingerprint),
    /// Another daemon has sent a message.
    Heard(TrackerMessage),
    /// A heartbeat of the leader contains this digest of the requests that the leader refuses.
    LeaderDigest(u64),
    /// The row of refused requests was read from the store; a missing row lists none.
    RowRead(Vec<Refused>),
    /// An attempt to write the row of refused requests has ended.
    RowWritten {
        /// Whether the store has confirmed the write.
        is_done: bool,
    },
    /// Time has passed.
    Tick,
}

/// An action that the caller of the crash tracker must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrackerOutput {
    /// Send the message to the leader.
    SendToLeader(TrackerMessage),
    /// Send the message to all other daemons.
    Broadcast(TrackerMessage),
    /// Send the message to the daemon whose message is being handled.
    Reply(TrackerMessage),
    /// Write the row of refused requests to the store.
    WriteRow(Vec<Refused>),
    /// Log the decision.
    Notice(TrackerNotice),
}

/// How a daemon learned that a request is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectSource {
    /// This daemon counted a crash.
    Crash,
    /// The leader announced it.
    Leader,
    /// Another daemon refuses the request.
    Refusal,
    /// The row in the store lists the request.
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

/// A decision of the crash tracker, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrackerNotice {
    /// A request is suspected.
    Suspected {
        /// The request.
        fingerprint: Fingerprint,
        /// The upstream that it crashed last, if known.
        crashed: Option<CrashedUpstream>,
        /// How this daemon learned of it.
        source: SuspectSource,
    },
    /// A crash is not counted against its request.
    Ignored {
        /// The crash.
        crash: Crash,
        /// Why it is not counted.
        count: CrashCount,
    },
    /// A request is no longer suspected.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
        /// The number of upstreams that it had crashed.
        crashes: usize,
    },
}

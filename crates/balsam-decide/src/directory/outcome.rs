//! What becomes of the rows that a directory is given.

use balsam_types::{StartTime, TimeMs, UpstreamName};

/// What was done with a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryOutcome {
    /// The upstream takes new work.
    Ready,
    /// The upstream leaves.
    Draining,
    /// The upstream is gone.
    Removed,
    /// The entry has vanished and is kept until then, because it may come back.
    Kept {
        /// Until when.
        until: TimeMs,
    },
    /// The entry was kept and has not come back.
    Lapsed,
    /// Something newer is known of the upstream; nothing changes.
    Older,
}

impl DiscoveryOutcome {
    /// Returns the text used in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Removed => "removed",
            Self::Kept { .. } => "kept",
            Self::Lapsed => "lapsed",
            Self::Older => "older",
        }
    }
}

/// What was done with the row of one upstream, so that a belief can be explained afterwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiscoveryNotice {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The life that wrote the row.
    pub born: StartTime,
    /// The version of the row, or of the list that lacks it.
    pub version: u64,
    /// What was done.
    pub outcome: DiscoveryOutcome,
}

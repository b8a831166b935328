//! How the rows of the upstream list were handled, for the log.

use balsam_types::{StartTime, TimeMs, UpstreamName};

/// How the row of an upstream was handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryOutcome {
    /// The row was adopted, and the upstream takes new work.
    Ready,
    /// The row was adopted, and the upstream is leaving and takes no new work.
    Draining,
    /// The row was adopted, but is not listed, because the configuration in force does not name its
    /// service.
    UnknownService,
    /// The upstream was removed.
    Removed,
    /// The store has no row of the upstream any more, but the upstream is kept for a while because
    /// the row may have expired only due to an outage.
    Kept {
        /// When the upstream is removed unless its row is back.
        until: TimeMs,
    },
    /// The upstream was kept, but its row was not back in time, so the upstream was removed.
    Lapsed,
    /// Newer data of the upstream is known, so nothing has changed.
    Older,
}

impl DiscoveryOutcome {
    /// Returns the text used in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::UnknownService => "unknown-service",
            Self::Removed => "removed",
            Self::Kept { .. } => "kept",
            Self::Lapsed => "lapsed",
            Self::Older => "older",
        }
    }
}

/// How the row of one upstream was handled.
///
/// It is logged, so that the list of upstreams at any moment can be explained afterwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiscoveryNotice {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The start time of the upstream incarnation that wrote the row.
    pub born: StartTime,
    /// The version of the row, or of the list that lacks it.
    pub version: u64,
    /// How the row was handled.
    pub outcome: DiscoveryOutcome,
}

//! Request outcomes as reported to callers.

use serde::{Deserialize, Serialize};

/// The outcome of a request, as reported to the caller.
///
/// See [the design page, section 8](../../../docs/design.md#8-outcomes-and-orders).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An upstream responded, and the complete response was forwarded.
    Answered,
    /// No upstream ran the request, and none will run it later.
    NotRun(NotRunReason),
    /// An upstream may have run the request.
    Unknown(UnknownReason),
}

macro_rules! reason {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident = $text:literal,)+ }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum $name {
            $($(#[$variant_doc])* #[serde(rename = $text)] $variant,)+
        }

        impl $name {
            /// All reasons in declaration order, which is also their encoding between daemons.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];

            /// Returns the text used in headers, log lines and metrics.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)+
                }
            }

            /// Parses the text that `as_str` returns.
            pub fn from_text(text: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|reason| reason.as_str() == text)
            }
        }
    };
}

reason! {
    /// Why a request was not run.
    NotRunReason {
        /// The request is malformed.
        BadRequest = "bad-request",
        /// No service of this name exists.
        UnknownService = "unknown-service",
        /// The service has no rank of this name.
        UnknownRank = "unknown-rank",
        /// The rank takes orders, and the request carries no `Idempotency-Key`.
        MissingOrderId = "missing-order-id",
        /// The request body exceeds the limit of the rank.
        BodyTooLarge = "body-too-large",
        /// The entry daemon has reached its limit of concurrent requests for this rank.
        EntryLimit = "entry-limit",
        /// The dispatcher's queue for this rank is full.
        QueueFull = "queue-full",
        /// The deadline passed, or could no longer be met, before the request was sent.
        Deadline = "deadline",
        /// No available upstream owns the key.
        NoOwner = "no-owner",
        /// The daemon's lease on fresh control state has expired.
        RightLapsed = "right-lapsed",
        /// The request was relayed to a daemon that is not the dispatcher of the upstream.
        NotDispatcher = "not-dispatcher",
        /// The upstream rejected the request because its grant or epoch did not match.
        Fenced = "fenced",
        /// The upstream shed the request because all its slots were in use.
        Shed = "shed",
        /// The upstream is draining.
        Draining = "draining",
        /// The upstream is still starting up.
        Starting = "starting",
        /// No connection to the upstream could be opened.
        ConnectFailed = "connect-failed",
        /// No connection to the dispatcher could be opened.
        PeerUnreachable = "peer-unreachable",
        /// The claim of the order could not be confirmed by the platform's table.
        ClaimUnavailable = "claim-unavailable",
        /// The request is quarantined because equal ones crashed upstreams.
        Quarantined = "quarantined",
        /// The retry budget is exhausted.
        RetryBudget = "retry-budget",
        /// This daemon cannot interpret the settings of the service.
        InvalidSettings = "invalid-settings",
        /// The daemon is shutting down.
        Stopping = "stopping",
        /// The caller closed its connection before the request was sent.
        Cancelled = "cancelled",
    }
}

reason! {
    /// Why it is unknown whether a request ran.
    UnknownReason {
        /// The connection to the upstream broke after part of the request had been sent.
        UpstreamLost = "upstream-lost",
        /// The deadline passed after part of the request had been sent.
        DeadlineAfterSend = "deadline-after-send",
        /// The dispatcher became unreachable after the request was relayed to it.
        DispatcherLost = "dispatcher-lost",
        /// An earlier request claimed the order id, and no outcome is recorded for it.
        ClaimedBefore = "claimed-before",
        /// The response was truncated and could not be resumed.
        AnswerTruncated = "answer-truncated",
    }
}

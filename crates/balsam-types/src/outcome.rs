//! What a caller is told about its request.

use serde::{Deserialize, Serialize};

/// The outcome of a request, as the caller is told.
///
/// See [the design page, section 8](../../../docs/design.md#8-outcomes-and-orders).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// An upstream answered, and the whole answer was passed on.
    Answered,
    /// No upstream ran the request, and none will.
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
            /// All reasons, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];

            /// Returns the text used in headers, log lines and metrics.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)+
                }
            }

            /// Finds the reason with this text.
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
        /// The request body is larger than the rank allows.
        BodyTooLarge = "body-too-large",
        /// The entry daemon holds as many requests of this rank as it may.
        EntryLimit = "entry-limit",
        /// The dispatcher's queue for this rank is full.
        QueueFull = "queue-full",
        /// The deadline passed, or could not be met, before the request was sent.
        Deadline = "deadline",
        /// The key has no available owner.
        NoOwner = "no-owner",
        /// The daemon's freshness right has lapsed.
        RightLapsed = "right-lapsed",
        /// The request went to a daemon that does not dispatch for the upstream.
        NotDispatcher = "not-dispatcher",
        /// The upstream refused the request because its grant or epoch did not match.
        Fenced = "fenced",
        /// The upstream shed the request.
        Shed = "shed",
        /// The upstream is draining.
        Draining = "draining",
        /// The upstream is still starting.
        Starting = "starting",
        /// No connection to the upstream could be opened.
        ConnectFailed = "connect-failed",
        /// No connection to the dispatcher could be opened.
        PeerUnreachable = "peer-unreachable",
        /// The table could not confirm the order's claim.
        ClaimUnavailable = "claim-unavailable",
        /// The request is quarantined because equal ones crashed upstreams.
        Quarantined = "quarantined",
        /// The retry budget is spent.
        RetryBudget = "retry-budget",
        /// The settings of this service cannot be interpreted by this daemon.
        InvalidSettings = "invalid-settings",
        /// The daemon is stopping.
        Stopping = "stopping",
        /// The caller closed its connection before the request was sent.
        Cancelled = "cancelled",
    }
}

reason! {
    /// Why it is unknown whether a request was run.
    UnknownReason {
        /// The upstream's connection broke after bytes of the request were sent.
        UpstreamLost = "upstream-lost",
        /// The deadline passed after bytes of the request were sent.
        DeadlineAfterSend = "deadline-after-send",
        /// The dispatcher was lost after the request was handed to it.
        DispatcherLost = "dispatcher-lost",
        /// The order id was claimed before, and no outcome is recorded.
        ClaimedBefore = "claimed-before",
        /// The answer was cut short and could not be resumed.
        AnswerTruncated = "answer-truncated",
    }
}

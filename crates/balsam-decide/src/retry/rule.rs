//! Which outcomes allow a retry.

use balsam_types::{NotRunReason, Outcome, UnknownReason};

/// Whether and on what condition a request is retried after an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rule {
    /// There is no retry.
    Final,
    /// The request is routed again, because nothing was sent to an upstream, or because the
    /// upstream is leaving and its keys are about to move. A better route may be known soon.
    Reroute,
    /// The request is sent again, because the upstream declared that it did not run it or the
    /// connection to it failed.
    Resend,
    /// The request is sent again only if it is idempotent, because it may have run.
    ResendIfIdempotent,
}

/// Returns the rule for `outcome`.
pub(super) const fn rule_of(outcome: Outcome) -> Rule {
    match outcome {
        Outcome::Answered => Rule::Final,
        Outcome::NotRun(reason) => rule_of_not_run(reason),
        Outcome::Unknown(reason) => match reason {
            UnknownReason::UpstreamLost | UnknownReason::DispatcherLost => Rule::ResendIfIdempotent,
            UnknownReason::DeadlineAfterSend
            | UnknownReason::ClaimedBefore
            | UnknownReason::AnswerTruncated => Rule::Final,
        },
    }
}

const fn rule_of_not_run(reason: NotRunReason) -> Rule {
    match reason {
        NotRunReason::NoOwner
        | NotRunReason::RightLapsed
        | NotRunReason::NotDispatcher
        | NotRunReason::PeerUnreachable
        | NotRunReason::Draining
        | NotRunReason::Stopping => Rule::Reroute,
        NotRunReason::Fenced
        | NotRunReason::Shed
        | NotRunReason::Starting
        | NotRunReason::ConnectFailed => Rule::Resend,
        // `EntryLimit` and `QueueFull` are final because a retry would add to the overload.
        NotRunReason::EntryLimit
        | NotRunReason::QueueFull
        | NotRunReason::BadRequest
        | NotRunReason::UnknownService
        | NotRunReason::UnknownRank
        | NotRunReason::MissingOrderId
        | NotRunReason::BodyTooLarge
        | NotRunReason::Deadline
        | NotRunReason::ClaimUnavailable
        | NotRunReason::Quarantined
        | NotRunReason::RetryBudget
        | NotRunReason::InvalidSettings
        | NotRunReason::Cancelled => Rule::Final,
    }
}

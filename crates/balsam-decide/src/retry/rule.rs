//! What each outcome allows.

use balsam_types::{NotRunReason, Outcome, UnknownReason};

/// What may follow an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rule {
    /// The outcome stands.
    Final,
    /// Nothing was sent to an upstream, or the upstream leaves and its keys are about to move; the
    /// route may be better soon.
    Reroute,
    /// The upstream declared that it did not run the request.
    Resend,
    /// The request may have run, so only idempotent work is sent again.
    ResendIfIdempotent,
}

/// Returns what may follow `outcome`.
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

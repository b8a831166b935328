//! Tracks the attempts of one request and decides what follows each of them.

use crate::pool::Verdict;
use balsam_types::RouteKind;

/// How a request ends if the caller gets no upstream's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ending {
    /// No upstream has executed it, and none will.
    NotRun,
    /// An upstream may have executed it; the last attempt failed.
    Unknown,
    /// An upstream may have executed it; no response came in time.
    Late,
}

impl Ending {
    /// Returns the HTTP status for the caller.
    ///
    /// Only 503 promises that the request was not executed.
    pub const fn status(self) -> u16 {
        match self {
            Self::NotRun => 503,
            Self::Unknown => 502,
            Self::Late => 504,
        }
    }
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Pass the upstream's response on to the caller.
    Deliver,
    /// Retry; if no further attempt can be made, pass the upstream's response on to the caller.
    RetryOrDeliver,
    /// Make another attempt.
    Retry,
    /// End the request without an upstream's response.
    End(Ending),
}

/// Maximum number of attempts that fail before the request is sent; they do not count as sent.
const CONNECT_FAILURES_MAX: u32 = 4;

/// State of the attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTracker {
    kind: RouteKind,
    attempts_max: u32,
    sent: u32,
    connect_failures: u32,
    may_have_run: bool,
}

impl AttemptTracker {
    /// Creates the tracker of a request that has not been sent.
    pub const fn new(kind: RouteKind, attempts_max: u32) -> Self {
        Self {
            kind,
            attempts_max,
            sent: 0,
            connect_failures: 0,
            may_have_run: false,
        }
    }

    /// Returns whether the next attempt counts against the retry budget.
    pub const fn is_repeat(&self) -> bool {
        self.sent > 0
    }

    /// Returns the number of attempts that were sent to an upstream.
    pub const fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns how the request ends if no further attempt is made.
    pub const fn ending(&self) -> Ending {
        if self.may_have_run {
            Ending::Unknown
        } else {
            Ending::NotRun
        }
    }

    /// Records the outcome of an attempt and returns what follows.
    pub const fn note(&mut self, verdict: Verdict) -> Step {
        match verdict {
            // The upstream announced that it takes no requests, which happens once in a while.
            Verdict::Withdrawn => return Step::Retry,
            Verdict::Unreachable | Verdict::Surplus => {
                self.connect_failures += 1;
                return if self.connect_failures > CONNECT_FAILURES_MAX {
                    Step::End(self.ending())
                } else {
                    Step::Retry
                };
            }
            Verdict::Dropped => return Step::End(self.ending()),
            _ => self.sent += 1,
        }
        match verdict {
            Verdict::Served => Step::Deliver,
            Verdict::Failed => {
                self.may_have_run = true;
                if self.may_retry() {
                    Step::RetryOrDeliver
                } else {
                    Step::Deliver
                }
            }
            Verdict::Broken | Verdict::Reset => {
                self.may_have_run = true;
                if self.may_retry() {
                    Step::Retry
                } else {
                    Step::End(Ending::Unknown)
                }
            }
            Verdict::TimedOut => {
                self.may_have_run = true;
                Step::End(Ending::Late)
            }
            Verdict::Shed | Verdict::NotHeld | Verdict::Replaced => {
                if self.may_retry() {
                    Step::Retry
                } else {
                    Step::End(self.ending())
                }
            }
            Verdict::Unreachable | Verdict::Surplus | Verdict::Dropped | Verdict::Withdrawn => {
                Step::End(self.ending())
            }
        }
    }

    /// Returns whether another attempt is allowed by the maximum and by the kind of the route.
    const fn may_retry(&self) -> bool {
        self.sent < self.attempts_max && (self.kind.is_retryable() || !self.may_have_run)
    }
}

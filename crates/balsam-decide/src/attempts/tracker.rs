//! The attempts of one request.

use crate::pool::Verdict;
use balsam_types::RouteKind;

/// How a request ends without an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ending {
    /// It has not run and never will.
    NotRun,
    /// It may have run; an upstream failed.
    Unknown,
    /// It may have run; there was no answer in time.
    Late,
}

impl Ending {
    /// Returns the status that tells the caller.
    ///
    /// Only 503 promises that the request has not run.
    pub const fn status(self) -> u16 {
        match self {
            Self::NotRun => 503,
            Self::Unknown => 502,
            Self::Late => 504,
        }
    }
}

/// What is to be done after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The upstream's answer goes to the caller.
    Deliver,
    /// The upstream's answer goes to the caller unless another attempt can be made.
    RetryOrDeliver,
    /// Another attempt is made.
    Retry,
    /// The request ends.
    End(Ending),
}

/// Attempts that could not reach an upstream at most; they do not count as sent.
const UNREACHED_MAX: u32 = 4;

/// Follows the attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTracker {
    kind: RouteKind,
    attempts_max: u32,
    sent: u32,
    unreached: u32,
    may_have_run: bool,
}

impl AttemptTracker {
    /// Makes the ledger of a request that was not sent yet.
    pub const fn new(kind: RouteKind, attempts_max: u32) -> Self {
        Self {
            kind,
            attempts_max,
            sent: 0,
            unreached: 0,
            may_have_run: false,
        }
    }

    /// Returns whether the next arrival draws on the budget.
    pub const fn is_repeat(&self) -> bool {
        self.sent > 0
    }

    /// Returns the attempts that were sent.
    pub const fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns how the request ends if nothing more is done for it.
    pub const fn ending(&self) -> Ending {
        if self.may_have_run {
            Ending::Unknown
        } else {
            Ending::NotRun
        }
    }

    /// Notes how an attempt ended and says what follows.
    pub const fn note(&mut self, verdict: Verdict) -> Step {
        match verdict {
            Verdict::Unreachable => {
                self.unreached += 1;
                return if self.unreached > UNREACHED_MAX {
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
                if self.may_go_on() {
                    Step::RetryOrDeliver
                } else {
                    Step::Deliver
                }
            }
            Verdict::Broken | Verdict::Reset => {
                self.may_have_run = true;
                if self.may_go_on() {
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
                if self.may_go_on() {
                    Step::Retry
                } else {
                    Step::End(self.ending())
                }
            }
            Verdict::Unreachable | Verdict::Dropped => Step::End(self.ending()),
        }
    }

    const fn may_go_on(&self) -> bool {
        self.sent < self.attempts_max && (self.kind.may_repeat() || !self.may_have_run)
    }
}

//! Causes for which an upstream does not run a request.

use balsam_types::NotRunReason;

/// The value of header field `Balsam-Not-Run`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunCause {
    /// The grant does not cover the request.
    Fenced,
    /// All slots are in use.
    Shed,
    /// The upstream is draining.
    Draining,
    /// The deadline had passed.
    Deadline,
    /// The upstream is still starting up.
    Starting,
}

impl NotRunCause {
    /// All causes, in declaration order.
    pub const ALL: [Self; 5] = [
        Self::Fenced,
        Self::Shed,
        Self::Draining,
        Self::Deadline,
        Self::Starting,
    ];

    /// Returns the value of the header field.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::Shed => "shed",
            Self::Draining => "draining",
            Self::Deadline => "deadline",
            Self::Starting => "starting",
        }
    }

    /// Parses the text that [`Self::as_str`] returns.
    pub fn from_text(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|cause| cause.as_str() == text)
    }
}

impl From<NotRunCause> for NotRunReason {
    fn from(cause: NotRunCause) -> Self {
        match cause {
            NotRunCause::Fenced => Self::Fenced,
            NotRunCause::Shed => Self::Shed,
            NotRunCause::Draining => Self::Draining,
            NotRunCause::Deadline => Self::Deadline,
            NotRunCause::Starting => Self::Starting,
        }
    }
}

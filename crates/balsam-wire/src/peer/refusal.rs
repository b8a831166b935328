//! Typed refusals of streams.

use serde::{Deserialize, Serialize};

/// Why a daemon refused a stream; nothing was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRefusal {
    /// The credential is missing or wrong.
    Credential,
    /// The path or method is not known.
    UnknownPath,
    /// The message cannot be decoded.
    Malformed,
    /// The daemon cannot take the request now.
    Busy,
}

impl PeerRefusal {
    /// Returns the HTTP status of the refusal.
    pub const fn status(self) -> u16 {
        match self {
            Self::Credential => 401,
            Self::UnknownPath => 404,
            Self::Malformed => 400,
            Self::Busy => 503,
        }
    }

    /// Returns the text used in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Credential => "credential",
            Self::UnknownPath => "unknown-path",
            Self::Malformed => "malformed",
            Self::Busy => "busy",
        }
    }
}

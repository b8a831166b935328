//! Typed rejections of streams between daemons.

use serde::{Deserialize, Serialize};

/// Why a daemon rejected a stream. A rejected stream has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRefusal {
    /// The credential is missing or wrong.
    Credential,
    /// The path or method is unknown.
    UnknownPath,
    /// The message cannot be decoded.
    Malformed,
    /// The daemon is too busy to accept the request.
    Busy,
}

impl PeerRefusal {
    /// Returns the HTTP status code.
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

//! Names of header fields, which the platform decides.

/// The header fields that the daemon reads and sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Names one attempt of a caller; upstreams echo it.
    pub attempt_id: &'static str,
    /// The time that the sender still waits, in milliseconds.
    pub deadline_ms: &'static str,
    /// An upstream's proof that an answer is its own.
    pub signature: &'static str,
    /// The upstream that alone may run a request.
    pub expected_upstream: &'static str,
    /// Present if the upstream did not run the request.
    pub not_run: &'static str,
    /// The upstream that answers.
    pub upstream: &'static str,
    /// The key of a request.
    pub key: &'static str,
}

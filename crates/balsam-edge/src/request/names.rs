//! Names of header fields, which the platform defines.

/// Names of the header fields that the daemon reads and sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller. Upstreams echo it.
    pub attempt_id: &'static str,
    /// The time that the sender still waits, in milliseconds.
    pub deadline_ms: &'static str,
    /// An upstream's proof that it produced the response.
    pub signature: &'static str,
    /// Name of the only upstream that may run the request.
    pub expected_upstream: &'static str,
    /// Present if the upstream did not run the request.
    pub not_run: &'static str,
    /// Name of the upstream that responds.
    pub upstream: &'static str,
    /// Key of a request.
    pub key: &'static str,
}

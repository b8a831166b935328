//! Names of header fields, which the platform defines, and the reader of what upstreams announce.

use balsam_decide::pool::UpstreamNotice;
use balsam_decide::room::UpstreamLoad;
use balsam_http1::Fields;

/// Reads what an upstream announces about itself from the status and the fields of a response.
pub type NoticeReader = fn(u16, &Fields) -> ReadNotice;

/// What an upstream announces about itself, as far as it is well-formed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadNotice {
    /// The announcement.
    pub notice: UpstreamNotice,
    /// The load that the upstream tells.
    pub load: Option<UpstreamLoad>,
    /// The first field that is malformed and was ignored.
    pub ignored: Option<&'static str>,
}

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

//! Header field names of the work interface, in lower case.

/// The unit that contains the key according to the sender.
pub const UNIT: &str = "balsam-unit";
/// The control epoch of the sender.
pub const EPOCH: &str = "balsam-epoch";
/// The time until the caller's deadline, in milliseconds.
pub const DEADLINE_MS: &str = "balsam-deadline-ms";
/// The rank of the request.
pub const RANK: &str = "balsam-rank";
/// The member on whose behalf the request is sent.
pub const MEMBER: &str = "balsam-member";
/// The key of the request.
pub const KEY: &str = "balsam-key";
/// The order id.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// In a 503 response of an upstream: the cause for not running the request.
pub const NOT_RUN: &str = "balsam-not-run";
/// The outcome as reported to the caller.
pub const OUTCOME: &str = "balsam-outcome";
/// The reason for an outcome without a response.
pub const REASON: &str = "balsam-reason";
/// The upstream that responded.
pub const UPSTREAM: &str = "balsam-upstream";
/// The digest of the request body, sent by the upstream stand-in as 16 hexadecimal digits.
pub const BODY_DIGEST: &str = "balsam-body-digest";

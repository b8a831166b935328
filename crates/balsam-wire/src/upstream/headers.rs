//! Names of header fields, in lower case.

/// The unit that the sender located the key in.
pub const UNIT: &str = "balsam-unit";
/// The sender's control epoch.
pub const EPOCH: &str = "balsam-epoch";
/// The time the caller still waits, in milliseconds.
pub const DEADLINE_MS: &str = "balsam-deadline-ms";
/// The rank of the work.
pub const RANK: &str = "balsam-rank";
/// The member on whose behalf the caller sends.
pub const MEMBER: &str = "balsam-member";
/// The request's key.
pub const KEY: &str = "balsam-key";
/// The order id.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// In an upstream's 503: the request was not run, for this cause.
pub const NOT_RUN: &str = "balsam-not-run";
/// The outcome as told to the caller.
pub const OUTCOME: &str = "balsam-outcome";
/// The reason of an outcome other than an answer.
pub const REASON: &str = "balsam-reason";
/// The upstream that answered.
pub const UPSTREAM: &str = "balsam-upstream";
/// The stand-in's digest of the request body, as 16 hexadecimal digits.
pub const BODY_DIGEST: &str = "balsam-body-digest";

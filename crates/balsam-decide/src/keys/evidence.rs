//! What shows that a former owner of a key range holds none of its keys any more.

use balsam_types::{FencingToken, KeyRange, Owner, ServiceName, UpstreamName};

/// What shows that a former owner holds no key of a range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FreedBy {
    /// The former owner has acknowledged a release.
    Release,
    /// All grants that the former owner may have received have expired.
    Expiry,
    /// Another upstream is listed at the address of the former owner.
    Address {
        /// The upstream that is listed there.
        listed: UpstreamName,
    },
}

impl FreedBy {
    /// Returns the text used in log lines.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Release => "release",
            Self::Expiry => "expiry",
            Self::Address { .. } => "address",
        }
    }
}

/// A moving range that a former owner no longer holds, so that its next owner is granted the keys.
///
/// It is logged, so that the moment at which keys change hands can be explained afterwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FreedRange {
    /// The service.
    pub service: ServiceName,
    /// The keys.
    pub range: KeyRange,
    /// The fencing token of the grant to the next owner.
    pub fence: FencingToken,
    /// The former owner.
    pub former: Owner,
    /// What shows that the former owner holds none of the keys.
    pub by: FreedBy,
}

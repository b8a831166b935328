//! The requests that ask an entry daemon for admission, and the limits on them.

use crate::settings::RankPolicy;
use balsam_types::{MemberName, RankName, ServiceName};

/// The body bytes that each request may buffer on average.
///
/// Bodies are streamed, so a request holds a few chunks and not its whole body.
const BUFFER_PER_REQUEST_BYTES: u64 = 16 << 10;

/// A rank of a service. The limits of each rank are independent of all other ranks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryRank {
    /// The service.
    pub service: ServiceName,
    /// The rank.
    pub rank: RankName,
}

/// The limits of one rank at one entry daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryLimits {
    /// The greatest number of requests that are held at once.
    pub max_requests: u64,
    /// The greatest number of body bytes that are buffered at once.
    pub max_buffered_bytes: u64,
    /// The greatest length of the body of one request in bytes.
    pub body_max_bytes: u64,
}

impl From<&RankPolicy> for EntryLimits {
    fn from(policy: &RankPolicy) -> Self {
        Self {
            max_requests: policy.entry_max_requests,
            max_buffered_bytes: policy.entry_max_requests * BUFFER_PER_REQUEST_BYTES,
            body_max_bytes: policy.body_max_bytes,
        }
    }
}

/// Identifies one admitted request at one entry daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryTicket(pub u64);

/// A request that asks for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The rank of the request.
    pub rank: EntryRank,
    /// The member (workspace) that the request belongs to.
    pub member: MemberName,
    /// The weight of the member relative to the other members of the rank.
    pub weight: u64,
    /// The exact length of the body in bytes, if it is known.
    pub body_length_bytes: Option<u64>,
}

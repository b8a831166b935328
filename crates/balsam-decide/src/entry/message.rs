//! What arrives at the entry and what bounds it.

use crate::settings::RankPolicy;
use balsam_types::{MemberName, RankName, ServiceName};

/// Body bytes that each place at the entry may buffer on average.
///
/// Bodies are streamed, so a request holds a few chunks and not its whole body.
const BUFFER_PER_PLACE_BYTES: u64 = 16 << 10;

/// The rank of a service, whose bounds are independent of all others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryRank {
    /// The service.
    pub service: ServiceName,
    /// The rank.
    pub rank: RankName,
}

/// The bounds of one rank at one entry daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryLimits {
    /// Requests held at once.
    pub max_requests: u64,
    /// Body bytes buffered at once.
    pub max_buffered_bytes: u64,
    /// Body bytes of one request.
    pub body_max_bytes: u64,
}

impl From<&RankPolicy> for EntryLimits {
    fn from(policy: &RankPolicy) -> Self {
        Self {
            max_requests: policy.entry_max_requests,
            max_buffered_bytes: policy.entry_max_requests * BUFFER_PER_PLACE_BYTES,
            body_max_bytes: policy.body_max_bytes,
        }
    }
}

/// Names one request at one entry daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryTicket(pub u64);

/// A request that wants a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Its rank.
    pub rank: EntryRank,
    /// The member that it belongs to.
    pub member: MemberName,
    /// The weight of the member against the other members of the rank.
    pub weight: u64,
    /// The exact length of the body in bytes, if it is known.
    pub body_length_bytes: Option<u64>,
}

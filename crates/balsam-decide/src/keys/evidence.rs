//! What shows that a former owner of a key range holds none of its keys any more.
//!
//! Rows of the platform's table are no evidence, because any program may write them. See
//! [the platform page](../../../../docs/platform.md#ownership-of-keys).

use balsam_types::{
    FencingToken, KeyRange, Map, Owner, ServiceName, TimeMs, UpstreamName, new_map,
};

/// How long the answer of a successor is relied on, in milliseconds. The process at the address is
/// asked again afterwards, because the successor may have ended as well.
const SUCCESSOR_VALID_MS: u64 = 5_000;

/// What shows that a former owner holds no key of a range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FreedBy {
    /// The former owner has acknowledged a release.
    Release,
    /// All grants that the former owner may have received have expired.
    Expiry,
    /// Another upstream has answered at the address of the former owner.
    Successor(UpstreamName),
}

impl FreedBy {
    /// Returns the text used in log lines.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Release => "release",
            Self::Expiry => "expiry",
            Self::Successor(_) => "successor",
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

/// The answer of another upstream at the address of an owner.
#[derive(Debug)]
struct SuccessorAnswer {
    successor: UpstreamName,
    takes_orders: bool,
    answered_at: TimeMs,
}

/// Owners whose processes have ended, because other upstreams answer at their addresses.
#[derive(Debug)]
pub(super) struct EndedOwners {
    answers: Map<Owner, SuccessorAnswer>,
}

impl EndedOwners {
    /// Creates an empty set.
    pub(super) fn new() -> Self {
        Self { answers: new_map() }
    }

    /// Records the answer of a successor.
    pub(super) fn record(
        &mut self,
        now: TimeMs,
        owner: &Owner,
        successor: &UpstreamName,
        takes_orders: bool,
    ) {
        self.answers.retain(|_, answer| answer.is_valid(now));
        let answer = SuccessorAnswer {
            successor: successor.clone(),
            takes_orders,
            answered_at: now,
        };
        self.answers.insert(owner.clone(), answer);
    }

    /// Returns the successor at the address of an owner, if that shows that no upstream holds keys by
    /// the owner's grants.
    pub(super) fn successor(
        &self,
        now: TimeMs,
        owner: &Owner,
        inherited_grants_until: TimeMs,
    ) -> Option<&UpstreamName> {
        let answer = self.answers.get(owner)?;
        // An earlier leader could still give orders to a successor that takes them.
        let may_hold = answer.takes_orders && now < inherited_grants_until;
        (answer.is_valid(now) && !may_hold).then_some(&answer.successor)
    }
}

impl SuccessorAnswer {
    fn is_valid(&self, now: TimeMs) -> bool {
        now.since(self.answered_at) < SUCCESSOR_VALID_MS
    }
}

//! The inputs, outputs and policy of the dispatch state machine.

use crate::settings::RankPolicy;
use balsam_types::{KeyHash, Map, MemberName, NotRunReason, RankName, TimeMs, UnitId};
use std::sync::Arc;

/// Identifies one request at one dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The identifier of the request.
    pub ticket: Ticket,
    /// Its rank.
    pub rank: RankName,
    /// The member (workspace) that it belongs to.
    pub member: MemberName,
    /// Its unit, for load measurement.
    pub unit: UnitId,
    /// Its key, for load measurement.
    pub key: KeyHash,
    /// When the caller stops waiting.
    pub deadline: TimeMs,
}

/// The slots of one upstream, and the policies and weights by which requests get them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DispatchPolicy {
    /// The number of requests that the upstream runs at once.
    pub slots: u32,
    /// The policy of each rank of the service.
    pub ranks: Map<RankName, RankPolicy>,
    /// The weight of each member that has a settings node of its own.
    pub weights: Map<(RankName, MemberName), u64>,
    /// The weight of all other members, by rank.
    pub default_weights: Map<RankName, u64>,
}

impl DispatchPolicy {
    /// Returns the weight of a member within a rank.
    pub fn weight(&self, rank: &RankName, member: &MemberName) -> f64 {
        let own = self.weights.get(&(rank.clone(), member.clone()));
        let weight = own.or_else(|| self.default_weights.get(rank));
        weight.copied().unwrap_or(1).max(1) as f64
    }
}

/// How a request ended that held a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotResult {
    /// The upstream answered.
    Served,
    /// The upstream rejected the request to shed load.
    Shed,
    /// The connection failed or the request was not sent.
    Failed,
}

/// An input of the dispatcher.
#[derive(Clone, Debug)]
pub enum DispatchInput {
    /// A request arrived that needs a slot.
    Enqueue(QueuedRequest),
    /// A request released its slot.
    Finished {
        /// The request.
        ticket: Ticket,
        /// How it ended.
        result: SlotResult,
    },
    /// The caller of a waiting request disconnected.
    Cancel {
        /// The request.
        ticket: Ticket,
    },
    /// The dispatch policy of the upstream changed.
    Policy(Arc<DispatchPolicy>),
    /// Time has passed.
    Tick,
}

/// An output of the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutput {
    /// The request may be sent now; it holds a slot from now on.
    Start {
        /// The request.
        ticket: Ticket,
    },
    /// The request leaves the queue without having been sent.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The reason for the refusal.
        reason: NotRunReason,
    },
}

/// The recent load of one upstream, in which older load has decayed exponentially.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// The used slot time, in milliseconds per second.
    pub load: f64,
    /// The units with the most load, each with its load in milliseconds per second.
    pub heavy_units: Vec<(UnitId, f64)>,
    /// The keys with the most load, each with its load in milliseconds per second.
    pub heavy_keys: Vec<(KeyHash, f64)>,
}

//! Messages to the upstream's state.

use balsam_decide::grants::{Grant, GrantReply, Revoke, RevokeReply};
use balsam_types::{Epoch, KeyHash, MemberName, OrderId, RankName, RequestKey, UnitId};
use balsam_wire::upstream::{
    AbortCause, AnswerFault, DrainResponse, HealthResponse, JournalResponse, LoadResponse,
    UpstreamFaults,
};
use std::sync::Arc;

/// A work request without its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkHead {
    /// The path.
    pub path: Arc<str>,
    /// The key.
    pub key: RequestKey,
    /// The unit that the sender located the key in.
    pub unit: Option<UnitId>,
    /// The sender's control epoch.
    pub epoch: Option<Epoch>,
    /// The rank of the work.
    pub rank: Option<RankName>,
    /// The member on whose behalf it runs.
    pub member: Option<MemberName>,
    /// The order id.
    pub order_id: Option<OrderId>,
    /// The time the caller still waits, in milliseconds.
    pub remaining_ms: u64,
    /// The wanted range, if the request is a read.
    pub range: Option<Arc<str>>,
    /// The validator that the range depends on.
    pub if_range: Option<Arc<str>>,
}

/// Names one execution of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExecutionId(pub u64);

/// An execution that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Started {
    /// Names the execution.
    pub id: ExecutionId,
    /// How long its work takes, in milliseconds.
    pub work_ms: u64,
    /// The time until its deadline, in milliseconds.
    pub remaining_ms: u64,
}

/// What an answer says about its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The key's text.
    pub key: Arc<str>,
    /// The order id.
    pub order_id: Option<OrderId>,
    /// The digest of the request body.
    pub body_digest: KeyHash,
}

/// An effect that took place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// The request that the answer names; another one if the answer is crossed.
    pub identity: Identity,
    /// The fault of the answer.
    pub fault: Option<AnswerFault>,
}

/// How an execution ended, as its task reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The whole answer was produced.
    Complete,
    /// The execution stopped early.
    Aborted(AbortCause),
}

/// A request on a control path.
#[derive(Clone, Debug)]
pub enum ControlRequest {
    /// A grant.
    Grant(Grant),
    /// A revocation.
    Revoke(Revoke),
    /// Reads the health report.
    Health,
    /// Reads the load report.
    Load,
    /// Starts a drain.
    Drain,
    /// Reads the journal.
    Journal,
    /// Reads the fault switches.
    Faults,
    /// Sets the fault switches.
    SetFaults(UpstreamFaults),
}

/// The state's reply to a [`ControlRequest`].
#[derive(Clone, Debug)]
pub enum ControlReply {
    /// The reply to a grant.
    Grant(GrantReply),
    /// The reply to a revocation.
    Revoke(RevokeReply),
    /// The health report.
    Health(HealthResponse),
    /// The load report.
    Load(LoadResponse),
    /// The state of the drain.
    Drain(DrainResponse),
    /// The journal.
    Journal(JournalResponse),
    /// The fault switches.
    Faults(UpstreamFaults),
    /// The request is left without an answer.
    Silence,
}

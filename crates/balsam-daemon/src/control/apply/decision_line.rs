//! The form of control decisions in the log.

use balsam_decide::node::Decision;
use balsam_types::control::{MoveReason, RemovalReason, UpstreamStatus};
use balsam_types::{Incarnation, ServiceName, UnitId, UpstreamName};
use serde::Serialize;

/// A [`Decision`] as the log writes it in JSON.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum DecisionLine {
    /// A unit starts to move.
    MoveStarted {
        /// The service.
        service: ServiceName,
        /// The unit.
        unit: UnitId,
        /// The previous owner.
        from: UpstreamName,
        /// The next owner.
        to: UpstreamName,
        /// Why the unit moves.
        reason: MoveReason,
    },
    /// A unit was assigned to an owner.
    Owned {
        /// The service.
        service: ServiceName,
        /// The unit.
        unit: UnitId,
        /// The owner.
        owner: UpstreamName,
        /// Whether the previous owner acknowledged the revocation; otherwise the leases that could
        /// let it serve the unit have expired.
        acknowledged: bool,
    },
    /// The status of an upstream changed.
    UpstreamStatus {
        /// The upstream.
        upstream: UpstreamName,
        /// The status.
        status: UpstreamStatus,
    },
    /// The dispatcher of an upstream changed.
    Dispatcher {
        /// The upstream.
        upstream: UpstreamName,
        /// The new dispatcher; `None` if the upstream has none.
        dispatcher: Option<Incarnation>,
    },
    /// A daemon became the placer.
    Placer {
        /// The daemon.
        incarnation: Incarnation,
    },
    /// A daemon was removed from the roster.
    DaemonRemoved {
        /// The daemon.
        incarnation: Incarnation,
        /// Why it was removed.
        reason: RemovalReason,
    },
    /// The daemon gained or lost its freshness lease, which the log calls its right.
    Right {
        /// Whether it holds the lease now.
        held: bool,
    },
}

impl From<Decision> for DecisionLine {
    fn from(decision: Decision) -> Self {
        match decision {
            Decision::MoveStarted {
                service,
                unit,
                from,
                to,
                reason,
            } => Self::MoveStarted {
                service,
                unit,
                from,
                to,
                reason,
            },
            Decision::Owned {
                service,
                unit,
                owner,
                acknowledged,
            } => Self::Owned {
                service,
                unit,
                owner,
                acknowledged,
            },
            Decision::UpstreamStatus { upstream, status } => {
                Self::UpstreamStatus { upstream, status }
            }
            Decision::Dispatcher {
                upstream,
                dispatcher,
            } => Self::Dispatcher {
                upstream,
                dispatcher,
            },
            Decision::Placer { incarnation } => Self::Placer { incarnation },
            Decision::DaemonRemoved {
                incarnation,
                reason,
            } => Self::DaemonRemoved {
                incarnation,
                reason,
            },
            Decision::Right { held } => Self::Right { held },
        }
    }
}

//! Log lines of control decisions.

use balsam_decide::node::Decision;
use balsam_types::control::{MoveReason, RemovalReason, UpstreamStatus};
use balsam_types::{Incarnation, ServiceName, UnitId, UpstreamName};
use serde::Serialize;

/// The JSON form of a [`Decision`].
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum DecisionLine {
    /// A unit starts to move.
    MoveStarted {
        /// The service.
        service: ServiceName,
        /// The unit.
        unit: UnitId,
        /// The former owner.
        from: UpstreamName,
        /// The next owner.
        to: UpstreamName,
        /// Why.
        reason: MoveReason,
    },
    /// A unit got its owner.
    Owned {
        /// The service.
        service: ServiceName,
        /// The unit.
        unit: UnitId,
        /// The owner.
        owner: UpstreamName,
        /// Whether the former owner acknowledged; otherwise its rights lapsed.
        acknowledged: bool,
    },
    /// An upstream's status changed.
    UpstreamStatus {
        /// The upstream.
        upstream: UpstreamName,
        /// The status.
        status: UpstreamStatus,
    },
    /// An upstream got a dispatcher.
    Dispatcher {
        /// The upstream.
        upstream: UpstreamName,
        /// The daemon.
        dispatcher: Option<Incarnation>,
    },
    /// A daemon became the placer.
    Placer {
        /// The daemon.
        incarnation: Incarnation,
    },
    /// A daemon left the roster.
    DaemonRemoved {
        /// The daemon.
        incarnation: Incarnation,
        /// Why.
        reason: RemovalReason,
    },
    /// The daemon gained or lost its freshness right.
    Right {
        /// Whether it holds the right now.
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

//! Responses that list the roster and the adopted epochs.

use super::IdText;
use balsam_decide::node::View;
use balsam_types::control::DaemonInfo;
use balsam_types::{Epoch, TimeMs, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The response to `GET /v1/daemons`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonsResponse {
    /// The control epoch that the response describes.
    pub epoch: Epoch,
    /// The responding daemon.
    pub me: IdText,
    /// The daemons in the roster.
    pub daemons: Vec<DaemonBody>,
}

/// A daemon in the roster, as seen by the responding daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonBody {
    /// The incarnation of the daemon.
    pub incarnation: IdText,
    /// The address of its peer listener.
    pub peer_address: SocketAddr,
    /// The availability zone of the daemon.
    pub zone: ZoneName,
    /// Whether the daemon is the placer, which commits placement changes.
    pub placer: bool,
    /// Whether the responding daemon suspects that it has failed.
    pub suspected: bool,
    /// The epoch that the daemon has adopted, if known.
    pub epoch: Option<Epoch>,
    /// The time since the last exchange with the daemon, in milliseconds.
    pub silent_ms: Option<u64>,
}

impl DaemonsResponse {
    /// Creates the response from a daemon's view.
    pub fn new(view: &View) -> Self {
        let daemons = view.state.daemons.values();
        Self {
            epoch: view.state.epoch,
            me: view.me.into(),
            daemons: daemons
                .map(|daemon| DaemonBody::new(view, daemon))
                .collect(),
        }
    }
}

impl DaemonBody {
    fn new(view: &View, daemon: &DaemonInfo) -> Self {
        let incarnation = daemon.incarnation;
        let peer_view = view
            .peers
            .iter()
            .find(|peer| peer.incarnation == incarnation);
        let own_epoch = (incarnation == view.me).then_some(view.state.epoch);
        Self {
            incarnation: incarnation.into(),
            peer_address: daemon.peer_address,
            zone: daemon.zone.clone(),
            placer: view.state.placer == Some(incarnation),
            suspected: view.suspected.contains(&incarnation),
            epoch: own_epoch.or_else(|| peer_view.map(|peer| peer.epoch)),
            silent_ms: peer_view.and_then(|peer| peer.silent_ms),
        }
    }
}

/// The response to `GET /v1/epochs`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochsResponse {
    /// The epoch that the responding daemon has adopted.
    pub epoch: Epoch,
    /// The responding daemon.
    pub me: IdText,
    /// Whether the responding daemon is in the roster.
    pub joined: bool,
    /// The remaining time of its lease on fresh control state, in milliseconds.
    pub right_ms: u64,
    /// Whether its last table read succeeded.
    pub table_ok: bool,
    /// The open rosters, oldest first. A change is in force once a majority of each has adopted it.
    pub open_rosters: Vec<RosterBody>,
    /// The adopted epoch of each daemon in the roster.
    pub daemons: Vec<EpochBody>,
}

/// An open roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterBody {
    /// The first epoch at which the roster was in force.
    pub since: Epoch,
    /// The daemons in the roster.
    pub members: Vec<IdText>,
}

/// The adopted epoch of one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochBody {
    /// The incarnation of the daemon.
    pub incarnation: IdText,
    /// The epoch that the daemon has adopted.
    pub epoch: Epoch,
    /// The time since the last exchange with the daemon, in milliseconds.
    pub silent_ms: Option<u64>,
}

impl EpochsResponse {
    /// Creates the response from a daemon's view at `now`.
    pub fn new(view: &View, now: TimeMs) -> Self {
        let rosters = view.state.open_rosters.iter();
        let peers = view.peers.iter();
        Self {
            epoch: view.state.epoch,
            me: view.me.into(),
            joined: view.joined,
            right_ms: view.lease_until.since(now),
            table_ok: view.table_ok,
            open_rosters: rosters
                .map(|roster| RosterBody {
                    since: roster.since,
                    members: roster
                        .members
                        .iter()
                        .map(|member| (*member).into())
                        .collect(),
                })
                .collect(),
            daemons: peers
                .map(|peer| EpochBody {
                    incarnation: peer.incarnation.into(),
                    epoch: peer.epoch,
                    silent_ms: peer.silent_ms,
                })
                .collect(),
        }
    }
}

//! The roster and the adopted epochs.

use super::IdText;
use balsam_decide::node::View;
use balsam_types::control::DaemonInfo;
use balsam_types::{Epoch, TimeMs, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The answer of `GET /v1/daemons`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonsResponse {
    /// The epoch of the answer.
    pub epoch: Epoch,
    /// The daemon that answers.
    pub me: IdText,
    /// The roster.
    pub daemons: Vec<DaemonBody>,
}

/// A daemon of the roster, as the answering daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonBody {
    /// The life of the daemon.
    pub incarnation: IdText,
    /// The address of its peer listener.
    pub peer_address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it may commit placement changes.
    pub placer: bool,
    /// Whether the answering daemon suspects it.
    pub suspected: bool,
    /// Its adopted epoch, if known.
    pub epoch: Option<Epoch>,
    /// Time since the last exchange with it, in milliseconds.
    pub silent_ms: Option<u64>,
}

impl DaemonsResponse {
    /// Makes the answer from the view of a daemon.
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
        let known = view
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
            epoch: own_epoch.or_else(|| known.map(|peer| peer.epoch)),
            silent_ms: known.and_then(|peer| peer.silent_ms),
        }
    }
}

/// The answer of `GET /v1/epochs`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochsResponse {
    /// The adopted epoch of the answering daemon.
    pub epoch: Epoch,
    /// The answering daemon.
    pub me: IdText,
    /// Whether the answering daemon is in the roster.
    pub joined: bool,
    /// What remains of its freshness right, in milliseconds.
    pub right_ms: u64,
    /// Whether its last table read succeeded.
    pub table_ok: bool,
    /// The open rosters from the oldest to the current one.
    pub open_rosters: Vec<RosterBody>,
    /// The adopted epoch of each roster daemon.
    pub daemons: Vec<EpochBody>,
}

/// An open roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterBody {
    /// The first epoch at which the roster was in force.
    pub since: Epoch,
    /// The daemons.
    pub members: Vec<IdText>,
}

/// The adopted epoch of one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochBody {
    /// The daemon.
    pub incarnation: IdText,
    /// Its adopted epoch.
    pub epoch: Epoch,
    /// Time since the last exchange with it, in milliseconds.
    pub silent_ms: Option<u64>,
}

impl EpochsResponse {
    /// Makes the answer from the view of a daemon at `now`.
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

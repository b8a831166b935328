//! Heartbeats and their replies.

use super::error::{OutOfRangeSnafu, WireError};
use balsam_decide::node::{Heartbeat, HeartbeatReply, UpstreamReport};
use balsam_types::control::DaemonInfo;
use balsam_types::{Epoch, Incarnation, KeyHash, Round, UnitId, UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};
use snafu::ensure;
use std::net::SocketAddr;

/// The maximum numbers of units and keys in one report, as specified in section 6 of the design
/// page.
const HEAVY_UNITS_MAX: usize = 64;
const HEAVY_KEYS_MAX: usize = 16;

/// The encoding of a [`Heartbeat`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireHeartbeat {
    incarnation: u64,
    peer_address: SocketAddr,
    zone: String,
    epoch: u64,
    round: u64,
    table_ok: bool,
    leaving: bool,
    reports: Vec<WireReport>,
}

/// The encoding of an [`UpstreamReport`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WireReport {
    upstream: String,
    silent: bool,
    answering: bool,
    draining: bool,
    load: f64,
    heavy_units: Vec<(u64, f64)>,
    heavy_keys: Vec<(u64, f64)>,
}

/// The encoding of a [`HeartbeatReply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireHeartbeatReply {
    incarnation: u64,
    epoch: u64,
    round: u64,
}

impl From<&Heartbeat> for WireHeartbeat {
    fn from(heartbeat: &Heartbeat) -> Self {
        Self {
            incarnation: heartbeat.from.incarnation.0,
            peer_address: heartbeat.from.peer_address,
            zone: heartbeat.from.zone.to_string(),
            epoch: heartbeat.epoch.0,
            round: heartbeat.round.0,
            table_ok: heartbeat.table_ok,
            leaving: heartbeat.leaving,
            reports: heartbeat.reports.iter().map(WireReport::from).collect(),
        }
    }
}

impl TryFrom<WireHeartbeat> for Heartbeat {
    type Error = WireError;
    fn try_from(wire: WireHeartbeat) -> Result<Self, WireError> {
        let reports = wire.reports.into_iter().map(UpstreamReport::try_from);
        Ok(Self {
            from: DaemonInfo {
                incarnation: Incarnation(wire.incarnation),
                peer_address: wire.peer_address,
                zone: ZoneName::new(wire.zone)?,
            },
            epoch: Epoch(wire.epoch),
            round: Round(wire.round),
            table_ok: wire.table_ok,
            leaving: wire.leaving,
            reports: reports.collect::<Result<_, _>>()?,
        })
    }
}

impl From<&UpstreamReport> for WireReport {
    fn from(report: &UpstreamReport) -> Self {
        let units = report.heavy_units.iter().take(HEAVY_UNITS_MAX);
        let keys = report.heavy_keys.iter().take(HEAVY_KEYS_MAX);
        Self {
            upstream: report.upstream.to_string(),
            silent: report.silent,
            answering: report.answering,
            draining: report.draining,
            load: report.load,
            heavy_units: units.map(|(unit, load)| (unit.0, *load)).collect(),
            heavy_keys: keys.map(|(key, load)| (key.0, *load)).collect(),
        }
    }
}

impl TryFrom<WireReport> for UpstreamReport {
    type Error = WireError;
    fn try_from(wire: WireReport) -> Result<Self, WireError> {
        check_count(
            "heavy_units",
            wire.heavy_units.len(),
            HEAVY_UNITS_MAX,
            "0 to 64",
        )?;
        check_count(
            "heavy_keys",
            wire.heavy_keys.len(),
            HEAVY_KEYS_MAX,
            "0 to 16",
        )?;
        check_load("load", wire.load)?;
        for (_, load) in wire.heavy_units.iter().chain(&wire.heavy_keys) {
            check_load("heavy load", *load)?;
        }
        let units = wire.heavy_units.into_iter();
        let keys = wire.heavy_keys.into_iter();
        Ok(Self {
            upstream: UpstreamName::new(wire.upstream)?,
            silent: wire.silent,
            answering: wire.answering,
            draining: wire.draining,
            load: wire.load,
            heavy_units: units.map(|(unit, load)| (UnitId(unit), load)).collect(),
            heavy_keys: keys.map(|(key, load)| (KeyHash(key), load)).collect(),
        })
    }
}

impl From<HeartbeatReply> for WireHeartbeatReply {
    fn from(reply: HeartbeatReply) -> Self {
        Self {
            incarnation: reply.incarnation.0,
            epoch: reply.epoch.0,
            round: reply.round.0,
        }
    }
}

impl From<WireHeartbeatReply> for HeartbeatReply {
    fn from(wire: WireHeartbeatReply) -> Self {
        Self {
            incarnation: Incarnation(wire.incarnation),
            epoch: Epoch(wire.epoch),
            round: Round(wire.round),
        }
    }
}

fn check_count(
    field: &'static str,
    count: usize,
    max: usize,
    accepted: &'static str,
) -> Result<(), WireError> {
    ensure!(
        count <= max,
        OutOfRangeSnafu {
            field,
            value: count.to_string(),
            accepted
        }
    );
    Ok(())
}

fn check_load(field: &'static str, load: f64) -> Result<(), WireError> {
    ensure!(
        load.is_finite() && load >= 0.0,
        OutOfRangeSnafu {
            field,
            value: load.to_string(),
            accepted: "a finite number from 0"
        }
    );
    Ok(())
}

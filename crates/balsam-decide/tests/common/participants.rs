//! The participants of a schedule and their clocks.

use balsam_decide::grants::{Holder, HolderSafeguard, RunningRequestId};
use balsam_decide::lease::Safeguard;
use balsam_decide::node::{Node, View};
use balsam_types::control::DaemonInfo;
use balsam_types::{Incarnation, KeyHash, Map, ServiceName, TimeMs, UpstreamName, ZoneName};
use std::net::SocketAddr;
use std::sync::Arc;

/// A process or the table, as a sender or receiver of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Host {
    Node(usize),
    Upstream(usize),
    Table,
}

/// A clock that differs from true time in offset and rate.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    pub offset_ms: u64,
    /// The deviation from the true rate in units of 1/10,000; positive if the clock is fast.
    pub rate_per_10_000: i64,
}

impl Clock {
    pub fn at(&self, t: u64) -> TimeMs {
        let drift = i64::try_from(t).expect("schedules are short") * self.rate_per_10_000 / 10_000;
        TimeMs((self.offset_ms + t).saturating_add_signed(drift))
    }
}

#[derive(Debug)]
pub struct DaemonProcess {
    /// `None` after the daemon has left or ended.
    pub node: Option<Node>,
    pub info: DaemonInfo,
    /// Identifies this run of the process; it is also the incarnation number.
    pub boot_id: u64,
    pub clock: Clock,
    pub frozen: bool,
    pub view: Option<Arc<View>>,
    /// The attempt id of the entry that the commit task is writing.
    pub commit: Option<u64>,
}

/// A request that an upstream runs.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub id: RunningRequestId,
    pub key: KeyHash,
    pub began_ms: u64,
}

#[derive(Debug)]
pub struct UpstreamProcess {
    pub holder: Holder,
    /// Identifies this run of the process; it is also the incarnation number.
    pub boot_id: u64,
    pub clock: Clock,
    pub frozen: bool,
    pub running: Map<u64, Work>,
    pub leaving: bool,
}

pub fn service() -> ServiceName {
    ServiceName::new("catalog").expect("the name is accepted")
}

pub fn upstream_name(index: usize) -> UpstreamName {
    UpstreamName::new(format!("up-{index}")).expect("the name is accepted")
}

pub fn zone(index: usize) -> ZoneName {
    ZoneName::new(format!("zone-{}", index % 2)).expect("the name is accepted")
}

pub fn node_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16))
}

pub fn upstream_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 2_000 + index as u16))
}

pub fn daemon_info(index: usize, incarnation: u64) -> DaemonInfo {
    DaemonInfo {
        incarnation: Incarnation(incarnation),
        peer_address: node_address(index),
        zone: zone(index),
    }
}

impl DaemonProcess {
    pub fn new(
        index: usize,
        incarnation: u64,
        clock: Clock,
        t: u64,
        without: Option<Safeguard>,
    ) -> Self {
        let info = daemon_info(index, incarnation);
        let node = Node::new(info.clone(), incarnation, clock.at(t));
        Self {
            node: Some(match without {
                Some(safeguard) => node.without(safeguard),
                None => node,
            }),
            info,
            boot_id: incarnation,
            clock,
            frozen: false,
            view: None,
            commit: None,
        }
    }
}

impl UpstreamProcess {
    pub fn new(incarnation: u64, clock: Clock, without: Option<HolderSafeguard>) -> Self {
        let holder = Holder::new(Incarnation(incarnation));
        Self {
            holder: match without {
                Some(safeguard) => holder.without(safeguard),
                None => holder,
            },
            boot_id: incarnation,
            clock,
            frozen: false,
            running: Map::default(),
            leaving: false,
        }
    }
}

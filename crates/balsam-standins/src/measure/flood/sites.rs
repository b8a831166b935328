//! The two deployments of the design page.

use super::SiteName;
use crate::measure::deployment::{RankSize, ServiceSize, Size};

/// Which work times the upstreams have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::measure) enum Scale {
    /// The real work times, for latency.
    Real,
    /// Long work times that make the capacity small enough to be flooded from one machine.
    Slow,
}

/// Capacity of the lookup service at slow work times, in requests per second.
pub(super) const SLOW_LOOKUPS: f64 = 150.0;
/// Capacity of the order service at slow work times.
pub(super) const SLOW_ORDERS: f64 = 120.0;
/// Capacity of the download service at slow work times.
pub(super) const SLOW_DOWNLOADS: f64 = 18.0;

const SLICES: u64 = 256;

/// The lookup service, which also takes downloads of its own so that two ranks share its slots.
pub(in crate::measure) const LOOKUP: ServiceSize = ServiceSize {
    name: "lookup",
    upstreams: 20,
    slices: SLICES,
    priority: 10,
    orders: false,
    more_ranks: &[RankSize {
        name: "download",
        priority: 30,
        min_slots: 1,
    }],
};

/// A deployment.
#[derive(Clone, Debug)]
pub(in crate::measure) struct Site {
    pub name: SiteName,
    pub order: ServiceSize,
    pub download: ServiceSize,
    pub one_way_ms: u64,
    zones: usize,
    slots: u32,
    connections: u32,
    probe_ms: u64,
}

impl Site {
    /// Returns the deployment `name`.
    pub fn of(name: SiteName) -> Self {
        let service = |name, upstreams, priority, orders| ServiceSize {
            name,
            upstreams,
            slices: SLICES,
            priority,
            orders,
            more_ranks: &[],
        };
        let (orders, downloads, zones, slots, connections, probe_ms) = match name {
            SiteName::First => (8, 6, 3, 3, 120, 0),
            SiteName::Second => (10, 8, 4, 6, 130, 6),
        };
        Self {
            name,
            order: service("order", orders, 20, true),
            download: service("download", downloads, 30, false),
            // The timer of the links has steps of 1 ms, so 0.5 ms cannot be set.
            one_way_ms: 1,
            zones,
            slots,
            connections,
            probe_ms,
        }
    }

    /// Returns the work times of lookups, orders and downloads in milliseconds.
    pub fn work_ms(&self, scale: Scale) -> [u64; 3] {
        let slow = |upstreams: usize, rate: f64| {
            (f64::from(self.slots) * upstreams as f64 / rate * 1_000.0).round() as u64
        };
        match scale {
            Scale::Real => [2, 5, 20],
            Scale::Slow => [
                slow(LOOKUP.upstreams, SLOW_LOOKUPS),
                slow(self.order.upstreams, SLOW_ORDERS),
                slow(self.download.upstreams, SLOW_DOWNLOADS),
            ],
        }
    }

    /// Returns the slots of all upstreams of a service.
    pub fn slots_of(&self, service: &str) -> u64 {
        let services = [&LOOKUP, &self.order, &self.download];
        let found = services.into_iter().find(|one| one.name == service);
        found.map_or(0, |one| one.upstreams as u64 * u64::from(self.slots))
    }

    /// Returns the size of the deployment.
    pub fn size(&self, scale: Scale) -> Size {
        let [lookup, order, download] = self.work_ms(scale);
        let argument = |name: &str, value: String| [name.to_owned(), value];
        let arguments = [
            argument(
                "--work-ms",
                format!("lookup={lookup},order={order},download={download}"),
            ),
            argument("--body-bytes", "download=65536".to_owned()),
            argument("--connect-ms", "1".to_owned()),
            argument("--probe-ms", self.probe_ms.to_string()),
        ];
        Size {
            zones: self.zones,
            daemons: 10,
            slots: self.slots,
            connections: self.connections,
            one_way_ms: self.one_way_ms,
            services: vec![LOOKUP, self.order, self.download],
            arguments: arguments.into_iter().flatten().collect(),
        }
    }
}

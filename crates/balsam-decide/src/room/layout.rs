//! Which daemon keeps the room of which upstreams.

use super::{GroupId, KeeperDaemon, KeeperList};
use crate::directory::Upstreams;
use balsam_types::{KeyHash, Map, ServiceName, UpstreamEntry, UpstreamName, ZoneName, new_map};

/// Upper limit on the mean number of upstreams in a group. Fewer upstreams would queue requests that
/// a free one nearby could run, and more would load a single keeper.
const GROUP_UPSTREAMS_MAX: usize = 32;

/// Upper limit on the parts into which the upstreams of a service in a zone are divided.
const PARTS_MAX: usize = 1 << 10;

/// The division of all upstreams into groups.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupLayout {
    parts: Map<ServiceName, Map<ZoneName, u16>>,
}

impl GroupLayout {
    /// Divides the known upstreams into groups.
    pub fn new(upstreams: &Upstreams) -> Self {
        let mut parts: Map<ServiceName, Map<ZoneName, u16>> = new_map();
        for upstream in upstreams.iter() {
            let entry = &upstream.entry;
            let zones = parts.entry(entry.service.clone()).or_default();
            *zones.entry(entry.zone.clone()).or_default() += 1;
        }
        for zones in parts.values_mut() {
            for count in zones.values_mut() {
                *count = part_count(usize::from(*count));
            }
        }
        Self { parts }
    }

    /// Returns the group of an upstream.
    pub fn group_of(&self, entry: &UpstreamEntry) -> GroupId {
        let zones = self.parts.get(&entry.service);
        let parts = zones.and_then(|zones| zones.get(&entry.zone));
        GroupId {
            service: entry.service.clone(),
            zone: entry.zone.clone(),
            part: part_of(&entry.name, parts.copied().unwrap_or(1)),
        }
    }

    /// Returns the services that have upstreams.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.parts.keys()
    }

    /// Returns the groups of a service.
    pub fn groups(&self, service: &ServiceName) -> Vec<GroupId> {
        let zones = self.parts.get(service).into_iter().flatten();
        let groups = zones.flat_map(|(zone, parts)| {
            (0..*parts).map(|part| GroupId {
                service: service.clone(),
                zone: zone.clone(),
                part,
            })
        });
        let mut groups: Vec<GroupId> = groups.collect();
        groups.sort_unstable();
        groups
    }
}

/// Returns the number of parts for some upstreams: a power of two, so that a change of their number
/// seldom changes it.
fn part_count(upstreams: usize) -> u16 {
    let needed = upstreams.div_ceil(GROUP_UPSTREAMS_MAX);
    needed.next_power_of_two().min(PARTS_MAX) as u16
}

fn part_of(name: &UpstreamName, parts: u16) -> u16 {
    (KeyHash::of(name.as_str()).0 % u64::from(parts.max(1))) as u16
}

impl KeeperList {
    /// Returns whether this list replaces `other`.
    pub const fn is_newer_than(&self, other: &Self) -> bool {
        self.lead > other.lead || (self.lead == other.lead && self.number > other.number)
    }

    /// Returns the keeper of a group: one in the group's zone, or any if there is none.
    ///
    /// Weighted rendezvous hashing: a keeper that joins or leaves changes only its own groups.
    pub fn keeper_of(&self, group: &GroupId) -> Option<&KeeperDaemon> {
        let in_zone = self.keepers.iter().filter(|found| found.zone == group.zone);
        let nearest = in_zone.max_by(|a, b| score(a, group).total_cmp(&score(b, group)));
        nearest.or_else(|| {
            let all = self.keepers.iter();
            all.max_by(|a, b| score(a, group).total_cmp(&score(b, group)))
        })
    }
}

/// Returns the score of a keeper for a group; the highest score wins. Keepers win in proportion to
/// their weights.
fn score(keeper: &KeeperDaemon, group: &GroupId) -> f64 {
    let text = format!(
        "{}/{}/{}/{}",
        keeper.address, group.service, group.zone, group.part
    );
    let unit = (KeyHash::of(&text).0 >> 11) as f64 / (1_u64 << 53) as f64;
    -f64::from(keeper.weight.max(1)) / unit.clamp(f64::MIN_POSITIVE, 1.0).ln().min(-1e-12)
}

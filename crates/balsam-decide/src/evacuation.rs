//! The zones that the operator has evacuated.
//!
//! See [the design note](../../../docs/design/evacuation.md).

use balsam_types::{TimeMs, ZoneName};
use std::collections::BTreeMap;

/// How long before the bound of an evacuation the owners of keys get their last requests, in
/// milliseconds. Until then a request that was chosen before may still be on its way.
const LAST_REQUEST_MARGIN_MS: u64 = 1_000;

/// The evacuation of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// Since when this daemon knows of it.
    pub known_at: TimeMs,
    /// Until when requests go to upstreams of the zone that own their keys.
    pub owners_until: TimeMs,
}

/// Which requests go to the upstreams of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneStanding {
    /// All requests.
    Open,
    /// Requests for keys that an upstream of the zone still owns.
    OwnersOnly,
    /// None.
    Closed,
}

/// The evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuatedZones(BTreeMap<ZoneName, Evacuation>);

impl EvacuatedZones {
    /// Adds a zone, unless it is known to be evacuated. Returns the evacuation if it is new.
    ///
    /// `age_ms` is an upper bound of the time since the store acknowledged the row, if one is known.
    /// Without one the time for the owners of keys counts as over. `bound_ms` is the time after the
    /// acknowledgement from which on no request may arrive.
    pub fn add(
        &mut self,
        now: TimeMs,
        zone: ZoneName,
        age_ms: Option<u64>,
        bound_ms: u64,
    ) -> Option<Evacuation> {
        if self.0.contains_key(&zone) {
            return None;
        }
        let lasts_ms = bound_ms.saturating_sub(LAST_REQUEST_MARGIN_MS);
        let left_ms = age_ms.map_or(0, |age_ms| lasts_ms.saturating_sub(age_ms));
        let evacuation = Evacuation {
            known_at: now,
            owners_until: now.after(left_ms),
        };
        self.0.insert(zone, evacuation);
        Some(evacuation)
    }

    /// Removes a zone, which is taken back into use.
    pub fn remove(&mut self, zone: &ZoneName) -> Option<Evacuation> {
        self.0.remove(zone)
    }

    /// Returns whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.0.contains_key(zone)
    }

    /// Returns the names of the zones in order.
    pub fn names(&self) -> impl Iterator<Item = &ZoneName> {
        self.0.keys()
    }

    /// Returns which requests go to the upstreams of a zone.
    pub fn standing(&self, now: TimeMs, zone: &ZoneName) -> ZoneStanding {
        match self.0.get(zone) {
            None => ZoneStanding::Open,
            Some(evacuation) if now < evacuation.owners_until => ZoneStanding::OwnersOnly,
            Some(_) => ZoneStanding::Closed,
        }
    }
}

//! The zones that the operator has evacuated, as the store's rows and the leader's snapshots show.
//!
//! See [the design note](../../../../docs/design/evacuation.md).

use super::events::ControlEvent;
use super::task::ControlTask;
use crate::clock::now;
use crate::store::{EvacuationState, StoreTable};
use crate::view::View;
use balsam_decide::directory::DirectoryInput;
use balsam_decide::evacuation::EvacuatedZones;
use balsam_decide::feed::FeedTable;
use balsam_decide::keys::AssignerInput;
use balsam_types::ZoneName;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The rows of evacuations in an answer of the store, in order.
pub(super) type EvacuationRows = Vec<(ZoneName, EvacuationState)>;

impl ControlTask {
    /// Returns an upper bound of the time since the store acknowledged a change of the operator's
    /// table that this daemon is about to adopt, in milliseconds.
    ///
    /// The store did not hold the change at the time up to which the known rows are current.
    pub(super) fn config_change_age_ms(&self) -> Option<u64> {
        self.feed.age_ms(now(), FeedTable::Config)
    }

    /// Applies rows of the store: all of them, or those that have changed.
    pub(super) fn apply_evacuation_rows(
        &mut self,
        rows: EvacuationRows,
        is_complete: bool,
        age_ms: Option<u64>,
    ) {
        let known = &self.view.evacuated;
        let mut zones: BTreeSet<ZoneName> = if is_complete {
            BTreeSet::new()
        } else {
            known.names().cloned().collect()
        };
        for (zone, state) in rows {
            match state {
                EvacuationState::Requested => {
                    zones.insert(zone);
                }
                EvacuationState::Removed => {
                    zones.remove(&zone);
                }
                EvacuationState::Unreadable { key, reason } => {
                    Self::log_bad_row(StoreTable::Config, &key, &reason);
                    if known.contains(&zone) {
                        zones.insert(zone);
                    }
                }
            }
        }
        self.set_evacuated_zones(zones, age_ms);
    }

    /// Adopts the set of evacuated zones. `age_ms` bounds the age of what is new in it.
    pub(super) fn set_evacuated_zones(&mut self, zones: BTreeSet<ZoneName>, age_ms: Option<u64>) {
        if zones.iter().eq(self.view.evacuated.names()) {
            return;
        }
        let now = now();
        let mut evacuated = EvacuatedZones::clone(&self.view.evacuated);
        for zone in self.view.evacuated.names() {
            if !zones.contains(zone)
                && let Some(ended) = evacuated.remove(zone)
            {
                let known_ms = now.since(ended.known_at);
                ControlEvent::ZoneTakenBack { zone, known_ms }.emit();
                self.metrics.zone_evacuated(zone, false);
            }
        }
        for zone in zones {
            let added = evacuated.add(now, zone.clone(), age_ms, self.evacuation_ms);
            if let Some(evacuation) = added {
                ControlEvent::ZoneEvacuated {
                    zone: &zone,
                    age_ms,
                    owners_left_ms: evacuation.owners_until.since(now),
                }
                .emit();
                self.metrics.zone_evacuated(&zone, true);
            }
        }
        let former = std::mem::replace(&mut self.view.evacuated, Arc::new(evacuated));
        let evacuated = Arc::clone(&self.view.evacuated);
        // The assigner follows on every daemon, so that the next leader continues.
        self.decide(AssignerInput::Evacuated(evacuated));
        for zone in former.names() {
            if !self.view.evacuated.contains(zone) {
                self.take_back(zone);
            }
        }
        self.publish();
    }

    /// Marks the upstreams of a zone that was taken back as cold. Services without limits of cold
    /// upstreams are left out.
    fn take_back(&mut self, zone: &ZoneName) {
        let services = self.config.iter().flat_map(|config| &config.services);
        let warmups_ms = services
            .filter_map(|(service, policy)| Some((service.clone(), policy.warmup?.duration_ms)));
        let input = DirectoryInput::ZoneTakenBack {
            zone: zone.clone(),
            warmups_ms: warmups_ms.collect(),
        };
        if let Some(upstreams) = self.directory.handle(now(), input) {
            self.view.upstreams = Arc::new(upstreams);
            self.refresh_assigner();
        }
    }

    /// Reports how many keys have an owner in an evacuated zone, if that has changed.
    pub(super) fn report_evacuating_keys(&mut self) {
        let keys = self.evacuating_keys();
        if keys == self.evacuating_keys {
            return;
        }
        self.evacuating_keys = keys;
        self.metrics.evacuating_keys(keys);
        ControlEvent::EvacuatingKeys { keys }.emit();
    }

    fn evacuating_keys(&self) -> u64 {
        let View {
            evacuated,
            upstreams,
            ranges,
            ..
        } = &self.view;
        if evacuated.is_empty() {
            return 0;
        }
        let assignments = ranges.values().flat_map(|ranges| &ranges.assignments);
        let evacuating = assignments.filter(|assignment| {
            let owner = upstreams.get(&assignment.owner.upstream);
            owner.is_some_and(|owner| evacuated.contains(&owner.entry.zone))
        });
        evacuating
            .map(|assignment| u64::from(assignment.range.len()))
            .sum()
    }
}

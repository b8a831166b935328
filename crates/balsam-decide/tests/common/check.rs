//! The invariants that are checked after every step.

use super::participants::Place;
use super::work::UNITS;
use super::world::{Caller, World};
use balsam_decide::node::View;
use balsam_types::timing::LEASE_TTL_MS;
use balsam_types::{Epoch, KeyHash, UnitId};
use std::sync::Arc;

/// The slack on a right's life for clocks that run 1 % slow, in milliseconds.
const CLOCK_GRACE_MS: u64 = 20;

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two upstreams ran requests for one key at the same time, or could have.
    TwoOwners {
        t: u64,
        unit: u64,
        upstreams: [usize; 2],
    },
    /// A daemon with a right was behind an accepted change.
    OldSettings {
        t: u64,
        node: usize,
        epoch: Epoch,
        accepted: Epoch,
    },
    /// A daemon went back to an older epoch or to another history.
    Reverted { t: u64, node: usize, epoch: Epoch },
}

#[derive(Debug)]
struct Ran {
    upstream: usize,
    key: KeyHash,
    began: u64,
    ended: u64,
}

#[derive(Debug)]
pub struct Checks {
    pub violation: Option<Violation>,
    pub accepted_count: u64,
    pub ran_count: u64,
    ran: Vec<Ran>,
    /// The accepted epochs with when they were accepted, in the order of time.
    accepted: Vec<(u64, Epoch)>,
    /// The newest epoch that was accepted everywhere.
    everywhere: Epoch,
}

impl Checks {
    pub fn new() -> Self {
        Self {
            violation: None,
            accepted_count: 0,
            ran_count: 0,
            ran: Vec::new(),
            accepted: Vec::new(),
            everywhere: Epoch(0),
        }
    }

    pub fn fail(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    /// Takes note of a request that had its effect, and compares it with those at other upstreams.
    pub fn ran(&mut self, upstream: usize, key: KeyHash, began: u64, ended: u64) {
        self.ran_count += 1;
        let overlaps = |other: &&Ran| {
            other.key == key
                && other.upstream != upstream
                && other.began < ended
                && began < other.ended
        };
        if let Some(other) = self.ran.iter().find(overlaps) {
            let upstreams = [other.upstream, upstream];
            let unit = key.0;
            self.fail(Violation::TwoOwners {
                t: ended,
                unit,
                upstreams,
            });
        }
        self.ran.push(Ran {
            upstream,
            key,
            began,
            ended,
        });
    }

    /// Returns how many requests for `key` had their effect at `upstream`.
    pub fn ran_at(&self, upstream: usize, key: KeyHash) -> usize {
        let matches = |ran: &&Ran| ran.upstream == upstream && ran.key == key;
        self.ran.iter().filter(matches).count()
    }

    pub fn accepted(&mut self, t: u64, epoch: Epoch, everywhere: bool) {
        self.accepted_count += 1;
        self.accepted.push((t, epoch));
        if everywhere {
            self.everywhere = self.everywhere.max(epoch);
        }
    }

    fn required_epoch(&self, t: u64) -> Epoch {
        let due = |(at, _): &&(u64, Epoch)| at + LEASE_TTL_MS + CLOCK_GRACE_MS <= t;
        let accepted = self.accepted.iter().filter(due).map(|(_, epoch)| *epoch);
        accepted.fold(self.everywhere, Epoch::max)
    }
}

impl World {
    /// Checks after an event at `place`; what an upstream may run grows only by its own events.
    pub fn check(&mut self, place: Option<Place>) {
        if matches!(place, Some(Place::Upstream(_))) {
            self.check_owners();
        }
        self.check_settings();
    }

    /// At most one upstream may run requests on a unit.
    fn check_owners(&mut self) {
        for unit in (0..UNITS).map(UnitId) {
            let may_run = |index: &usize| {
                let process = &self.upstreams[*index];
                process.holder.may_run(process.clock.at(self.t), unit)
            };
            let mut owners = (0..self.upstreams.len()).filter(may_run);
            if let (Some(first), Some(second)) = (owners.next(), owners.next()) {
                self.checks.fail(Violation::TwoOwners {
                    t: self.t,
                    unit: unit.0,
                    upstreams: [first, second],
                });
            }
        }
    }

    /// A running roster daemon with a right knows every change that was accepted a right's life ago.
    fn check_settings(&mut self) {
        let required = self.checks.required_epoch(self.t);
        for (index, process) in self.nodes.iter().enumerate() {
            let now = process.clock.at(self.t);
            let Some(view) = &process.view else { continue };
            let acts = !self.place_frozen(Place::Node(index)) && view.joined && view.has_lease(now);
            if acts && view.state.epoch < required {
                self.checks.fail(Violation::OldSettings {
                    t: self.t,
                    node: index,
                    epoch: view.state.epoch,
                    accepted: required,
                });
                return;
            }
        }
    }

    /// A daemon's state is a prefix of the committed history and never goes back.
    pub fn check_view(&mut self, caller: Caller, view: &View) {
        let previous = &self.nodes[caller.node].view;
        let went_back = previous
            .as_ref()
            .is_some_and(|previous| previous.state.epoch > view.state.epoch);
        let same_epoch = view.state.epoch == self.table.epoch();
        let is_new = previous
            .as_ref()
            .is_none_or(|previous| !Arc::ptr_eq(&previous.state, &view.state));
        let differs = is_new && same_epoch && *view.state != self.table.state;
        if went_back || differs || view.state.epoch > self.table.epoch() {
            let (t, node, epoch) = (self.t, caller.node, view.state.epoch);
            self.checks.fail(Violation::Reverted { t, node, epoch });
        }
    }
}

//! The invariants that are checked after every event.

use super::participants::Host;
use super::work::UNITS;
use super::world::{Caller, World};
use balsam_decide::node::View;
use balsam_types::timing::LEASE_TTL_MS;
use balsam_types::{Epoch, KeyHash, UnitId};
use std::sync::Arc;

/// The tolerance for leases on clocks that run 1 % slow, in milliseconds.
const CLOCK_GRACE_MS: u64 = 20;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two upstreams ran requests for one key at the same time, or could have done so.
    TwoOwners {
        t: u64,
        unit: u64,
        upstreams: [usize; 2],
    },
    /// A daemon that held a lease had not adopted an accepted change in time.
    OldSettings {
        t: u64,
        node: usize,
        epoch: Epoch,
        accepted: Epoch,
    },
    /// A daemon went back to an older epoch, or its state differs from the committed history.
    Reverted { t: u64, node: usize, epoch: Epoch },
}

#[derive(Debug)]
struct Execution {
    upstream: usize,
    key: KeyHash,
    began_ms: u64,
    ended_ms: u64,
}

#[derive(Debug)]
pub struct Checks {
    pub violation: Option<Violation>,
    pub accepted_count: u64,
    pub ran_count: u64,
    ran: Vec<Execution>,
    /// The accepted epochs and when they were accepted, in the order of time.
    accepted: Vec<(u64, Epoch)>,
    /// The newest epoch that was accepted as in force everywhere.
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

    /// Records a request that had its effect and checks it for overlaps with those at other
    /// upstreams.
    pub fn ran(&mut self, upstream: usize, key: KeyHash, began_ms: u64, ended_ms: u64) {
        self.ran_count += 1;
        let overlaps = |other: &&Execution| {
            other.key == key
                && other.upstream != upstream
                && other.began_ms < ended_ms
                && began_ms < other.ended_ms
        };
        if let Some(other) = self.ran.iter().find(overlaps) {
            let upstreams = [other.upstream, upstream];
            let unit = key.0;
            self.fail(Violation::TwoOwners {
                t: ended_ms,
                unit,
                upstreams,
            });
        }
        self.ran.push(Execution {
            upstream,
            key,
            began_ms,
            ended_ms,
        });
    }

    /// Returns how many requests for `key` had their effect at `upstream`.
    pub fn ran_at(&self, upstream: usize, key: KeyHash) -> usize {
        let matches = |ran: &&Execution| ran.upstream == upstream && ran.key == key;
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
    /// Checks the invariants after an event at `host`.
    ///
    /// What an upstream may run grows only by its own events, so other events need no check of
    /// owners.
    pub fn check(&mut self, host: Option<Host>) {
        if matches!(host, Some(Host::Upstream(_))) {
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

    /// A running roster daemon that holds a lease has adopted every change that was accepted more
    /// than one lease duration ago.
    fn check_settings(&mut self) {
        let required = self.checks.required_epoch(self.t);
        for (index, process) in self.nodes.iter().enumerate() {
            let now = process.clock.at(self.t);
            let Some(view) = &process.view else { continue };
            let is_active =
                !self.is_frozen(Host::Node(index)) && view.joined && view.has_lease(now);
            if is_active && view.state.epoch < required {
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

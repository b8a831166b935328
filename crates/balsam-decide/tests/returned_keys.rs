//! Tests of key ranges that return to a former owner before it has released them.

mod keyed;

use balsam_decide::keys::{
    Assigner, AssignerInput, AssignerOutput, Commit, CommitResult, GrantTiming, Order, OrderId,
    OrderKind, OrderResult, RowVersion, StoredLead,
};
use balsam_types::{KeyRange, ServiceRanges, TimeMs, UpstreamState};
use keyed::{cluster, daemon, upstream};
use std::sync::Arc;

const STEP_MS: u64 = 50;

/// The upstream whose ranges move away and return.
const FORMER: u16 = 1;

/// The other upstream.
const OTHER: u16 = 2;

/// Keys that an upstream holds until a grant expires.
#[derive(Clone, Copy, Debug)]
struct Hold {
    upstream: u16,
    range: KeyRange,
    expires_at: TimeMs,
}

/// A leader, its store and two upstreams that check their grants.
struct LeaderSim {
    assigner: Assigner,
    now: TimeMs,
    version: u64,
    ranges: Option<Arc<ServiceRanges>>,
    holds: Vec<Hold>,
    /// Whether grants to the former owner get no answer.
    is_silent: bool,
    /// Whether the former owner works on the keys that it is asked to release.
    is_working: bool,
    /// Releases that the former owner has not answered, and when the leader stops waiting.
    unanswered: Vec<(OrderId, TimeMs)>,
    /// Releases that the former owner received for ranges that it owns.
    own_releases: usize,
}

impl LeaderSim {
    /// Runs a leader until both upstreams hold keys.
    fn start() -> Self {
        let now = TimeMs(100_000);
        let mut sim = Self {
            assigner: Assigner::new(now, daemon(0), GrantTiming::new(10_000), 0),
            now,
            version: 0,
            ranges: None,
            holds: Vec::new(),
            is_silent: false,
            is_working: false,
            unanswered: Vec::new(),
            own_releases: 0,
        };
        sim.deliver(AssignerInput::Lead(StoredLead {
            version: RowVersion(0),
            leader: None,
        }));
        sim.set_states(UpstreamState::Ready, UpstreamState::Ready);
        sim.run(3_000);
        assert!(sim.owns(FORMER) > 0 && sim.owns(OTHER) > 0);
        sim
    }

    /// Moves the ranges of the former owner, whose last grants get no answer, and returns them while
    /// it has not answered a release yet.
    fn return_ranges(&mut self) {
        self.is_silent = true;
        while self.owns(FORMER) > 0 {
            self.run(STEP_MS);
        }
        // The ranges wait until the unanswered grants have expired; until then the release is
        // repeated.
        self.run(2_400);
        self.is_working = true;
        while self.unanswered.is_empty() {
            self.run(STEP_MS);
        }
        self.is_silent = false;
        self.set_states(UpstreamState::Ready, UpstreamState::Draining);
        while !self.holds_all(FORMER) {
            self.run(STEP_MS);
        }
    }

    fn set_states(&mut self, former: UpstreamState, other: UpstreamState) {
        self.deliver(cluster([upstream(FORMER, former), upstream(OTHER, other)]));
    }

    /// Returns the number of ranges that are assigned to an upstream.
    fn owns(&self, number: u16) -> usize {
        let ranges = self.ranges.as_ref().expect("assignments");
        let owned = ranges.assignments.iter();
        owned
            .filter(|found| found.owner.address.port() == 9_000 + number)
            .count()
    }

    fn holds_all(&self, number: u16) -> bool {
        let held = self.holds.iter().filter(|hold| hold.upstream == number);
        let keys: u32 = held.map(|hold| hold.range.len()).sum();
        keys == 1 + u32::from(u16::MAX)
    }

    fn run(&mut self, length_ms: u64) {
        for _ in 0..length_ms / STEP_MS {
            self.now = self.now.after(STEP_MS);
            assert!(self.now < TimeMs(160_000), "the schedule does not end");
            let now = self.now;
            self.holds.retain(|hold| now < hold.expires_at);
            let expired: Vec<_> = self
                .unanswered
                .extract_if(.., |sent| sent.1 <= now)
                .collect();
            for (id, _) in expired {
                let result = OrderResult::NoAnswer;
                self.deliver(AssignerInput::Ordered { id, result });
            }
            self.deliver(AssignerInput::Tick);
        }
    }

    /// Ends the former owner's work, so that it answers the releases.
    fn end_work(&mut self) {
        self.is_working = false;
        assert!(!self.unanswered.is_empty(), "no release is unanswered");
        for (id, _) in std::mem::take(&mut self.unanswered) {
            let result = OrderResult::Released { handover: None };
            self.deliver(AssignerInput::Ordered { id, result });
        }
    }

    fn deliver(&mut self, input: AssignerInput) {
        for output in self.assigner.handle(self.now, input) {
            if let Some(reply) = self.reply(output) {
                self.deliver(reply);
            }
        }
    }

    fn reply(&mut self, output: AssignerOutput) -> Option<AssignerInput> {
        match output {
            AssignerOutput::Commit(commit) => {
                if let Commit::Assign { ranges, .. } = commit {
                    self.ranges = Some(ranges);
                }
                self.version += 1;
                let version = RowVersion(self.version);
                Some(AssignerInput::Committed(CommitResult::Done(version)))
            }
            AssignerOutput::Reload => Some(AssignerInput::Reloaded),
            AssignerOutput::Confirm => Some(AssignerInput::Confirmed {
                asked_at: self.now,
                version: Some(self.assigner.lead_version()),
            }),
            AssignerOutput::Order(order) => {
                let id = order.id;
                let result = self.execute(&order)?;
                Some(AssignerInput::Ordered { id, result })
            }
            AssignerOutput::Moved { .. } => None,
        }
    }

    /// Executes an order and returns its result, or `None` if it is not answered yet.
    fn execute(&mut self, order: &Order) -> Option<OrderResult> {
        let number = order.to.address.port() - 9_000;
        let is_former = number == FORMER;
        match order.kind {
            OrderKind::Grant { .. } if is_former && self.is_silent => Some(OrderResult::NoAnswer),
            OrderKind::Grant { hold_ms, .. } => {
                let others = self.holds.iter().filter(|hold| hold.upstream != number);
                let conflict = others
                    .into_iter()
                    .find(|hold| overlap(hold.range, order.range));
                assert!(conflict.is_none(), "{order:?} while held: {conflict:?}");
                self.holds
                    .retain(|hold| hold.upstream != number || !overlap(hold.range, order.range));
                self.holds.push(Hold {
                    upstream: number,
                    range: order.range,
                    expires_at: self.now.after(hold_ms),
                });
                Some(OrderResult::Granted)
            }
            OrderKind::Release => {
                self.holds
                    .retain(|hold| hold.upstream != number || !overlap(hold.range, order.range));
                let ranges = self.ranges.as_ref().expect("assignments");
                let mut assignments = ranges.assignments.iter();
                let assignment = assignments.find(|found| found.range == order.range);
                self.own_releases +=
                    usize::from(assignment.is_some_and(|found| found.owner == order.to));
                if is_former && self.is_working {
                    let timeout_at = self.now.after(order.timeout_ms);
                    self.unanswered.push((order.id, timeout_at));
                    return None;
                }
                Some(OrderResult::Released { handover: None })
            }
        }
    }
}

fn overlap(left: KeyRange, right: KeyRange) -> bool {
    left.first <= right.last && right.first <= left.last
}

/// Guards against a leader that forgets a grant when an earlier release is answered, and then gives
/// the keys to the next owner while the former one holds them.
#[test]
fn newer_grant_kept() {
    let mut sim = LeaderSim::start();
    sim.return_ranges();
    sim.end_work();
    sim.set_states(UpstreamState::Draining, UpstreamState::Ready);
    sim.run(6_000);
    assert!(sim.holds_all(OTHER));
}

/// Guards against an owner that stops serving its keys because the leader asks it, as one of the
/// former owners, to release them.
#[test]
fn owner_keeps_range() {
    let mut sim = LeaderSim::start();
    sim.return_ranges();
    sim.run(1_000);
    assert_eq!(sim.own_releases, 0);
    assert!(sim.holds_all(FORMER));
}

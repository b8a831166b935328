//! Tests how soon keys of a lost owner are reassigned after all daemons have stopped at the same
//! time.

mod keyed;

use balsam_decide::keys::{
    Assigner, AssignerInput, AssignerOutput, Commit, CommitResult, DaemonIdentity, GrantTiming,
    OrderKind, OrderResult, RowVersion, StoredLead, StoredRanges,
};
use balsam_types::{Incarnation, ServiceRanges, TimeMs, UpstreamState};
use keyed::{cluster, daemon, upstream};
use rstest::rstest;
use std::sync::Arc;

const STEP_MS: u64 = 50;

/// Number of the upstream that is lost and then responds to no order.
const LOST: u16 = 1;

/// The rows in the store.
#[derive(Clone)]
struct Rows {
    lead: StoredLead,
    ranges: Option<StoredRanges>,
    version: u64,
}

/// One daemon, its store, and whether the lost upstream still responds.
struct DaemonSim {
    assigner: Assigner,
    now: TimeMs,
    rows: Rows,
    is_lost: bool,
}

impl DaemonSim {
    fn start(now: TimeMs, me: DaemonIdentity, rows: Rows) -> Self {
        let mut sim = Self {
            assigner: Assigner::new(now, me, GrantTiming::new(10_000), 0),
            now,
            rows,
            is_lost: false,
        };
        sim.deliver(AssignerInput::Tick);
        sim
    }

    /// Runs the first leader of a deployment.
    fn first() -> Self {
        let empty = Rows {
            lead: StoredLead {
                version: RowVersion(0),
                leader: None,
            },
            ranges: None,
            version: 0,
        };
        let upstreams = [LOST, LOST + 1].map(|number| upstream(number, UpstreamState::Ready));
        let mut first = Self::start(TimeMs(100_000), daemon(0), empty);
        first.deliver(cluster(upstreams));
        first.run(3_000);
        first
    }

    /// Runs another daemon from its start until it is the leader, after this one has stopped and an
    /// upstream was lost.
    fn start_successor(&self, me: DaemonIdentity, rows: Rows) -> Self {
        let mut next = Self::start(self.now.after(300), me, rows);
        next.is_lost = true;
        next.deliver(cluster([upstream(LOST + 1, UpstreamState::Ready)]));
        next.run(1_500);
        assert!(next.assigner.is_leading());
        next
    }

    fn run(&mut self, length_ms: u64) {
        for _ in 0..length_ms / STEP_MS {
            self.now = self.now.after(STEP_MS);
            self.deliver(AssignerInput::Tick);
        }
    }

    fn deliver(&mut self, input: AssignerInput) {
        for output in self.assigner.handle(self.now, input) {
            for reply in self.replies(output) {
                self.deliver(reply);
            }
        }
    }

    fn replies(&mut self, output: AssignerOutput) -> Vec<AssignerInput> {
        match output {
            AssignerOutput::Commit(commit) => {
                self.rows.version += 1;
                let version = RowVersion(self.rows.version);
                match commit {
                    Commit::TakeLead { leader, .. } => {
                        let leader = Some(leader);
                        self.rows.lead = StoredLead { version, leader };
                    }
                    Commit::Assign { ranges, .. } => {
                        self.rows.ranges = Some(StoredRanges { version, ranges });
                    }
                }
                vec![AssignerInput::Committed(CommitResult::Done(version))]
            }
            AssignerOutput::Reload => {
                let ranges = self.rows.ranges.clone().map(AssignerInput::Ranges);
                let lead = AssignerInput::Lead(self.rows.lead.clone());
                let rows = [lead].into_iter().chain(ranges);
                rows.chain([AssignerInput::Reloaded]).collect()
            }
            AssignerOutput::Confirm => vec![AssignerInput::Confirmed {
                asked_at: self.now,
                version: Some(self.rows.lead.version),
            }],
            AssignerOutput::Order(order) => {
                let is_lost = self.is_lost && order.to.address.port() == 9_000 + LOST;
                let result = match order.kind {
                    _ if is_lost => OrderResult::NoAnswer,
                    OrderKind::Release => OrderResult::Released { handover: None },
                    OrderKind::Grant { .. } => OrderResult::Granted,
                };
                vec![AssignerInput::Ordered {
                    id: order.id,
                    result,
                }]
            }
            AssignerOutput::Moved { .. } => Vec::new(),
        }
    }

    fn ranges(&self) -> Arc<ServiceRanges> {
        let stored = self.rows.ranges.as_ref().expect("assignments");
        Arc::clone(&stored.ranges)
    }

    /// Returns whether every key is owned by the remaining upstream.
    fn is_served(&self) -> bool {
        let ranges = self.ranges();
        let mut assignments = ranges.assignments.iter();
        assignments.all(|found| found.owner.upstream.as_str() != "u1" && !found.is_moving())
    }
}

/// Returns the news of a daemon's restart, which shows that its previous incarnation has ended.
fn restarted_daemon(number: u16) -> AssignerInput {
    AssignerInput::Alive(DaemonIdentity {
        incarnation: Incarnation(99),
        ..daemon(number)
    })
}

/// Guards against waiting for grants of leaders for which the predecessor had already waited. The
/// keys of the lost upstream only need to wait until its last grant expires. If the predecessor had
/// not waited, or is not known to have ended, the full wait applies.
#[rstest]
#[case::settled(true, true, 7_000, true)]
#[case::unsettled(false, true, 7_000, false)]
#[case::silent(true, false, 7_000, false)]
#[case::silent_in_full(true, false, 16_000, true)]
fn all_restarted(
    #[case] was_settled: bool,
    #[case] has_restarted: bool,
    #[case] within_ms: u64,
    #[case] is_served: bool,
) {
    let first = DaemonSim::first();
    assert_eq!(first.ranges().settled_lead, first.rows.lead.version.0);
    let mut rows = first.rows.clone();
    if !was_settled && let Some(stored) = &mut rows.ranges {
        Arc::make_mut(&mut stored.ranges).settled_lead = 0;
    }

    let mut second = first.start_successor(daemon(1), rows);
    assert!(second.assigner.is_leading());
    if has_restarted {
        second.deliver(restarted_daemon(0));
    }
    second.run(within_ms);
    assert_eq!(second.is_served(), is_served);
}

/// Guards against the full wait after leaders that ended shortly one after another.
#[test]
fn successive_leaders() {
    let first = DaemonSim::first();
    let mut second = first.start_successor(daemon(1), first.rows.clone());
    second.deliver(restarted_daemon(0));
    second.run(500);
    assert!(!second.is_served(), "the last grant has not expired yet");
    let mut third = second.start_successor(daemon(2), second.rows.clone());
    third.deliver(restarted_daemon(1));
    third.run(7_000);
    assert!(third.is_served());
}

/// Guards against a row that says that all earlier leaders have ended while one of them may still
/// give orders.
#[test]
fn predecessor_silent() {
    let first = DaemonSim::first();
    let mut second = first.start_successor(daemon(1), first.rows.clone());
    second.run(8_000);
    let lead = second.rows.lead.version.0;
    assert_ne!(second.ranges().settled_lead, lead);
    second.run(8_000);
    assert_eq!(second.ranges().settled_lead, lead);
}

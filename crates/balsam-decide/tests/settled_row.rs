//! Guards how soon keys of a lost owner are given on after all daemons have ended at once.

mod keyed;

use balsam_decide::keys::{
    Assigner, AssignerInput, AssignerOutput, Commit, CommitResult, DaemonIdentity, GrantTiming,
    OrderKind, OrderResult, RowVersion, StoredLead, StoredRanges,
};
use balsam_types::{Incarnation, ServiceRanges, TimeMs, UpstreamState};
use keyed::{daemon, upstream, world};
use rstest::rstest;
use std::sync::Arc;

const STEP_MS: u64 = 50;

/// The upstream that is lost; it answers no order after that.
const LOST: u16 = 1;

/// The platform's rows.
#[derive(Clone)]
struct Rows {
    lead: StoredLead,
    ranges: Option<StoredRanges>,
    version: u64,
}

/// One daemon at the store, and whether the lost upstream answers.
struct Played {
    assigner: Assigner,
    now: TimeMs,
    rows: Rows,
    is_lost: bool,
}

impl Played {
    fn start(now: TimeMs, me: DaemonIdentity, rows: Rows) -> Self {
        let mut played = Self {
            assigner: Assigner::new(now, me, GrantTiming::new(10_000), 0),
            now,
            rows,
            is_lost: false,
        };
        played.give(AssignerInput::Tick);
        played
    }

    /// Plays the first leader of a deployment.
    fn first() -> Self {
        let empty = Rows {
            lead: StoredLead {
                version: RowVersion(0),
                leader: None,
            },
            ranges: None,
            version: 0,
        };
        let upstreams = [LOST, LOST + 1].map(|at| upstream(at, UpstreamState::Ready));
        let mut first = Self::start(TimeMs(100_000), daemon(0), empty);
        first.give(world(upstreams));
        first.play(3_000);
        first
    }

    /// Plays another daemon from its start until it leads, after this one has ended and an upstream
    /// was lost.
    fn follow(&self, me: DaemonIdentity, rows: Rows) -> Self {
        let mut next = Self::start(self.now.after(300), me, rows);
        next.is_lost = true;
        next.give(world([upstream(LOST + 1, UpstreamState::Ready)]));
        next.play(1_500);
        assert!(next.assigner.is_leading());
        next
    }

    fn play(&mut self, length_ms: u64) {
        for _ in 0..length_ms / STEP_MS {
            self.now = self.now.after(STEP_MS);
            self.give(AssignerInput::Tick);
        }
    }

    fn give(&mut self, input: AssignerInput) {
        for output in self.assigner.handle(self.now, input) {
            for answer in self.answers(output) {
                self.give(answer);
            }
        }
    }

    fn answers(&mut self, output: AssignerOutput) -> Vec<AssignerInput> {
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

    /// Returns whether each key is with the upstream that is left.
    fn is_served(&self) -> bool {
        let ranges = self.ranges();
        let mut assignments = ranges.assignments.iter();
        assignments.all(|found| found.owner.upstream.as_str() != "u1" && !found.is_moving())
    }
}

/// Tells of a daemon's next life, which shows that the former one has ended.
fn next_life(at: u16) -> AssignerInput {
    AssignerInput::Alive(DaemonIdentity {
        incarnation: Incarnation(99),
        ..daemon(at)
    })
}

/// Guards against waiting for grants of leaders that the lost one had waited for already: keys of
/// the lost upstream need the run of its last grant only. A leader that had not waited, and one
/// whose end nobody knows, are waited for in full.
#[rstest]
#[case::settled(true, true, 7_000, true)]
#[case::unsettled(false, true, 7_000, false)]
#[case::silent(true, false, 7_000, false)]
#[case::silent_in_full(true, false, 16_000, true)]
fn all_ended(
    #[case] was_settled: bool,
    #[case] is_back: bool,
    #[case] within_ms: u64,
    #[case] is_served: bool,
) {
    let first = Played::first();
    assert_eq!(first.ranges().settled_lead, first.rows.lead.version.0);
    let mut rows = first.rows.clone();
    if !was_settled && let Some(stored) = &mut rows.ranges {
        Arc::make_mut(&mut stored.ranges).settled_lead = 0;
    }

    let mut second = first.follow(daemon(1), rows);
    assert!(second.assigner.is_leading());
    if is_back {
        second.give(next_life(0));
    }
    second.play(within_ms);
    assert_eq!(second.is_served(), is_served);
}

/// Guards against waiting in full because leaders ended one soon after the other.
#[test]
fn ended_in_a_row() {
    let first = Played::first();
    let mut second = first.follow(daemon(1), first.rows.clone());
    second.give(next_life(0));
    second.play(500);
    assert!(!second.is_served(), "the last grant has not run out yet");
    let mut third = second.follow(daemon(2), second.rows.clone());
    third.give(next_life(1));
    third.play(7_000);
    assert!(third.is_served());
}

/// Guards against a row that says that all earlier leaders have ended while one may still give
/// orders.
#[test]
fn predecessor_silent() {
    let first = Played::first();
    let mut second = first.follow(daemon(1), first.rows.clone());
    second.play(8_000);
    let lead = second.rows.lead.version.0;
    assert_ne!(second.ranges().settled_lead, lead);
    second.play(8_000);
    assert_eq!(second.ranges().settled_lead, lead);
}

//! Guards how a deployment that has just started finds its leader.

mod keyed;

use balsam_decide::keys::{
    Assigner, AssignerInput, AssignerOutput, Commit, CommitResult, DaemonIdentity, GrantTiming,
    RowVersion, StoredLead,
};
use balsam_types::{TimeMs, UpstreamState};
use keyed::{daemon, upstream, world};
use rstest::rstest;

const STEP_MS: u64 = 5;

/// The time that an answer of the store takes, in milliseconds.
const ANSWER_MS: u64 = 10;

/// How much later than the strong daemons the weak ones may try, in milliseconds.
const WEAK_MS: u64 = 300;

const STRONG: usize = 4;

/// Daemons that start together at an empty store.
struct Deployment {
    daemons: Vec<(DaemonIdentity, Assigner)>,
    lead: StoredLead,
    answers: Vec<(TimeMs, usize, AssignerInput)>,
    writes: usize,
    reads: usize,
}

impl Deployment {
    fn start(now: TimeMs, count: usize) -> Self {
        let start = |at: usize| {
            let me = daemon(at as u16);
            let weak_ms = if at < STRONG { 0 } else { WEAK_MS };
            let stagger_ms = weak_ms + (at as u64 * 37) % 150;
            let timing = GrantTiming::new(10_000);
            (me.clone(), Assigner::new(now, me, timing, stagger_ms))
        };
        Self {
            daemons: (0..count).map(start).collect(),
            lead: StoredLead {
                version: RowVersion(0),
                leader: None,
            },
            answers: Vec::new(),
            writes: 0,
            reads: 0,
        }
    }

    fn give(&mut self, now: TimeMs, at: usize, input: AssignerInput) {
        for output in self.daemons[at].1.handle(now, input) {
            let answered_at = now.after(ANSWER_MS);
            match output {
                AssignerOutput::Reload => {
                    self.reads += 1;
                    let read = AssignerInput::Lead(self.lead.clone());
                    self.answers.push((answered_at, at, read));
                    self.answers
                        .push((answered_at, at, AssignerInput::Reloaded));
                }
                AssignerOutput::Commit(Commit::TakeLead { expected, leader }) => {
                    self.writes += 1;
                    let result = if expected == self.lead.version {
                        self.lead = StoredLead {
                            version: RowVersion(expected.0 + 1),
                            leader: Some(leader),
                        };
                        CommitResult::Done(self.lead.version)
                    } else {
                        CommitResult::Conflict
                    };
                    let result = AssignerInput::Committed(result);
                    self.answers.push((answered_at, at, result));
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, from: TimeMs, length_ms: u64) {
        for step in 0..length_ms / STEP_MS {
            let now = from.after(step * STEP_MS);
            let (due, later) = std::mem::take(&mut self.answers)
                .into_iter()
                .partition(|(at, ..)| *at <= now);
            self.answers = later;
            let due: Vec<(TimeMs, usize, AssignerInput)> = due;
            for (_, at, input) in due {
                self.give(now, at, input);
            }
            for at in 0..self.daemons.len() {
                self.give(now, at, AssignerInput::Tick);
            }
        }
    }
}

/// Guards that daemons that learn of their services at the same moment do not all write the row of
/// the leader, and that a strong one becomes it: a weak link cannot carry the news of a start.
#[rstest]
fn one_strong_leader(#[values(10, 70)] count: usize) {
    let start = TimeMs(100_000);
    let mut deployment = Deployment::start(start, count);
    deployment.run(start, 600);
    let configured = start.after(600);
    for at in 0..count {
        let upstreams = [upstream(1, UpstreamState::Ready)];
        deployment.give(configured, at, world(upstreams));
    }
    deployment.run(configured, 900);
    let leaders = deployment.daemons.iter();
    let leaders: Vec<usize> = leaders
        .enumerate()
        .filter(|(_, (_, assigner))| assigner.is_leading())
        .map(|(at, _)| at)
        .collect();
    assert!(leaders.len() == 1 && leaders[0] < STRONG, "{leaders:?}");
    assert!(deployment.writes <= STRONG, "{} writes", deployment.writes);
    let reads_max = 2 * count + 1;
    assert!(deployment.reads <= reads_max, "{} reads", deployment.reads);
}

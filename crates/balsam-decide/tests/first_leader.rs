//! Tests how a new deployment elects its first leader.

mod keyed;

use balsam_decide::keys::{
    Assigner, AssignerInput, AssignerOutput, Commit, CommitResult, DaemonIdentity, GrantTiming,
    RowVersion, StoredLead,
};
use balsam_types::{TimeMs, UpstreamState};
use keyed::{cluster, daemon, upstream};
use rstest::rstest;

const STEP_MS: u64 = 5;

/// Response time of the store in milliseconds.
const STORE_LATENCY_MS: u64 = 10;

/// Additional delay before a daemon with a weak network link tries to become leader, in
/// milliseconds.
const WEAK_DELAY_MS: u64 = 300;

/// Interval of the leader's heartbeats in milliseconds.
const HEARTBEAT_MS: u64 = 250;

/// Number of daemons without a weak network link; they have the lowest indexes.
const STRONG_DAEMONS: usize = 4;

/// Daemons that start together while the store is empty.
struct Deployment {
    daemons: Vec<(DaemonIdentity, Assigner)>,
    lead: StoredLead,
    replies: Vec<(TimeMs, usize, AssignerInput)>,
    writes: usize,
    reads: usize,
}

impl Deployment {
    fn start(now: TimeMs, count: usize) -> Self {
        let start = |index: usize| {
            let me = daemon(index as u16);
            let weak_delay_ms = if index < STRONG_DAEMONS {
                0
            } else {
                WEAK_DELAY_MS
            };
            let stagger_ms = weak_delay_ms + (index as u64 * 37) % 150;
            let timing = GrantTiming::new(10_000);
            let assigner = Assigner::new(now, me.clone(), timing, stagger_ms);
            (me, assigner.with_first_read_delay(stagger_ms))
        };
        Self {
            daemons: (0..count).map(start).collect(),
            lead: StoredLead {
                version: RowVersion(0),
                leader: None,
            },
            replies: Vec::new(),
            writes: 0,
            reads: 0,
        }
    }

    fn deliver(&mut self, now: TimeMs, index: usize, input: AssignerInput) {
        for output in self.daemons[index].1.handle(now, input) {
            let replied_at = now.after(STORE_LATENCY_MS);
            match output {
                AssignerOutput::Reload => {
                    self.reads += 1;
                    let read = AssignerInput::Lead(self.lead.clone());
                    self.replies.push((replied_at, index, read));
                    self.replies
                        .push((replied_at, index, AssignerInput::Reloaded));
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
                    self.replies.push((replied_at, index, result));
                }
                _ => {}
            }
        }
    }

    /// Delivers the heartbeats of the leader to all daemons that have read its row.
    fn send_heartbeats(&mut self, now: TimeMs) {
        let mut leaders = self.daemons.iter();
        let Some((leader, assigner)) = leaders.find(|(_, assigner)| assigner.is_leading()) else {
            return;
        };
        let (incarnation, version) = (leader.incarnation, assigner.lead_version());
        for index in 0..self.daemons.len() {
            if self.daemons[index].1.lead_version() == version {
                let heartbeat = AssignerInput::Heard {
                    incarnation,
                    is_settled: true,
                    should_replace: false,
                };
                self.deliver(now, index, heartbeat);
            }
        }
    }

    fn run(&mut self, from: TimeMs, length_ms: u64) {
        for step in 0..length_ms / STEP_MS {
            let now = from.after(step * STEP_MS);
            let (due, later) = std::mem::take(&mut self.replies)
                .into_iter()
                .partition(|(due_at, ..)| *due_at <= now);
            self.replies = later;
            let due: Vec<(TimeMs, usize, AssignerInput)> = due;
            for (_, index, input) in due {
                self.deliver(now, index, input);
            }
            if now.0.is_multiple_of(HEARTBEAT_MS) {
                self.send_heartbeats(now);
            }
            for index in 0..self.daemons.len() {
                self.deliver(now, index, AssignerInput::Tick);
            }
        }
    }
}

/// Guards against a write of the leader's row by every daemon when all start at the same moment, and
/// against a leader with a weak network link, which could not carry the messages to all daemons that
/// follow the start. The leader must be there before the services are known: until then every daemon
/// would follow the store, while hundreds of upstreams register.
#[rstest]
fn one_strong_leader(#[values(10, 70, 295)] count: usize) {
    let start = TimeMs(100_000);
    let mut deployment = Deployment::start(start, count);
    deployment.run(start, 600);
    let early = deployment.daemons.iter();
    let early = early.filter(|(_, assigner)| assigner.is_leading()).count();
    assert_eq!(early, 1, "leaders before there are services");
    let configured = start.after(600);
    for index in 0..count {
        let upstreams = [upstream(1, UpstreamState::Ready)];
        deployment.deliver(configured, index, cluster(upstreams));
    }
    deployment.run(configured, 900);
    let leaders = deployment.daemons.iter();
    let leaders: Vec<usize> = leaders
        .enumerate()
        .filter(|(_, (_, assigner))| assigner.is_leading())
        .map(|(index, _)| index)
        .collect();
    assert!(
        leaders.len() == 1 && leaders[0] < STRONG_DAEMONS,
        "{leaders:?}"
    );
    assert!(
        deployment.writes <= STRONG_DAEMONS,
        "{} writes",
        deployment.writes
    );
    let reads_max = count + STRONG_DAEMONS + 1;
    assert!(deployment.reads <= reads_max, "{} reads", deployment.reads);
}

//! Tests a leader that is about to stop.

mod keyed;

use balsam_decide::keys::{
    Assigner, AssignerInput, AssignerOutput, Commit, CommitResult, GrantTiming, OrderResult,
    RowVersion, StoredLead,
};
use balsam_types::{TimeMs, UpstreamState};
use keyed::{cluster, daemon, upstream};

const STEP_MS: u64 = 50;

/// A leader whose orders succeed, and whose commits succeed unless the store is down.
struct LeaderSim {
    assigner: Assigner,
    now: TimeMs,
    version: u64,
    orders: u32,
    lead_attempts: u32,
    is_store_down: bool,
}

impl LeaderSim {
    fn start() -> Self {
        let now = TimeMs(100_000);
        let assigner = Assigner::new(now, daemon(0), GrantTiming::new(10_000), 0);
        let mut sim = Self {
            assigner,
            now,
            version: 0,
            orders: 0,
            lead_attempts: 0,
            is_store_down: false,
        };
        sim.deliver(AssignerInput::Lead(StoredLead {
            version: RowVersion(0),
            leader: None,
        }));
        sim.deliver(cluster([upstream(1, UpstreamState::Ready)]));
        sim
    }

    fn deliver(&mut self, input: AssignerInput) {
        for output in self.assigner.handle(self.now, input) {
            if let Some(reply) = self.reply(output) {
                self.deliver(reply);
            }
        }
    }

    fn reply(&mut self, output: AssignerOutput) -> Option<AssignerInput> {
        let reply = match output {
            AssignerOutput::Commit(commit) => {
                self.lead_attempts += u32::from(matches!(commit, Commit::TakeLead { .. }));
                if self.is_store_down {
                    return Some(AssignerInput::Committed(CommitResult::Failed));
                }
                self.version += 1;
                AssignerInput::Committed(CommitResult::Done(RowVersion(self.version)))
            }
            AssignerOutput::Moved { .. } => return None,
            AssignerOutput::Reload if self.is_store_down => AssignerInput::ReloadFailed,
            AssignerOutput::Reload => AssignerInput::Reloaded,
            AssignerOutput::Confirm => AssignerInput::Confirmed {
                asked_at: self.now,
                version: (!self.is_store_down).then(|| self.assigner.lead_version()),
            },
            AssignerOutput::Order(order) => {
                self.orders += 1;
                let (id, result) = (order.id, OrderResult::Granted);
                AssignerInput::Ordered { id, result }
            }
        };
        Some(reply)
    }

    /// Advances the time and returns the number of orders sent meanwhile.
    fn run(&mut self, length_ms: u64) -> u32 {
        let before = self.orders;
        let end = self.now.after(length_ms);
        while self.now < end {
            self.now = self.now.after(STEP_MS);
            self.deliver(AssignerInput::Tick);
        }
        self.orders - before
    }
}

/// Guards against keys without an owner when the leader is to stop while the store is down, so that
/// no other daemon can replace it.
#[test]
fn renews_until_replaced() {
    let mut sim = LeaderSim::start();
    sim.run(3_000);
    assert!(sim.assigner.is_leading());
    sim.deliver(AssignerInput::Leave);
    sim.is_store_down = true;
    assert!(
        sim.run(4_000) > 0,
        "no renewal within the duration of a grant"
    );
    assert!(sim.assigner.is_leading());
}

/// Guards against orders from a leader that has been replaced, and against its attempts to become
/// leader again.
#[test]
fn stays_replaced() {
    let mut sim = LeaderSim::start();
    sim.run(3_000);
    sim.deliver(AssignerInput::Leave);
    sim.deliver(AssignerInput::Lead(StoredLead {
        version: RowVersion(100),
        leader: Some(daemon(1)),
    }));
    let lead_attempts = sim.lead_attempts;
    assert_eq!(sim.run(20_000), 0);
    assert_eq!(sim.lead_attempts, lead_attempts);
}

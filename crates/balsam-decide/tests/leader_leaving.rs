//! Guards what a leader does that is about to stop.

mod keyed;

use balsam_decide::keys::{
    Assigner, AssignerInput, AssignerOutput, Commit, CommitResult, GrantTiming, OrderResult,
    RowVersion, StoredLead,
};
use balsam_types::{TimeMs, UpstreamState};
use keyed::{daemon, upstream, world};

const STEP_MS: u64 = 50;

/// A leader whose commits and orders succeed, and whose store may be away.
struct Played {
    assigner: Assigner,
    now: TimeMs,
    version: u64,
    orders: u32,
    attempts: u32,
    is_store_away: bool,
}

impl Played {
    fn start() -> Self {
        let now = TimeMs(100_000);
        let assigner = Assigner::new(now, daemon(0), GrantTiming::new(10_000), 0);
        let mut played = Self {
            assigner,
            now,
            version: 0,
            orders: 0,
            attempts: 0,
            is_store_away: false,
        };
        played.give(AssignerInput::Lead(StoredLead {
            version: RowVersion(0),
            leader: None,
        }));
        played.give(world([upstream(1, UpstreamState::Ready)]));
        played
    }

    fn give(&mut self, input: AssignerInput) {
        for output in self.assigner.handle(self.now, input) {
            if let Some(answer) = self.answer(output) {
                self.give(answer);
            }
        }
    }

    fn answer(&mut self, output: AssignerOutput) -> Option<AssignerInput> {
        let answer = match output {
            AssignerOutput::Commit(commit) => {
                self.attempts += u32::from(matches!(commit, Commit::TakeLead { .. }));
                if self.is_store_away {
                    return Some(AssignerInput::Committed(CommitResult::Failed));
                }
                self.version += 1;
                AssignerInput::Committed(CommitResult::Done(RowVersion(self.version)))
            }
            AssignerOutput::Moved { .. } => return None,
            AssignerOutput::Reload if self.is_store_away => AssignerInput::ReloadFailed,
            AssignerOutput::Reload => AssignerInput::Reloaded,
            AssignerOutput::Confirm => AssignerInput::Confirmed {
                asked_at: self.now,
                version: (!self.is_store_away).then(|| self.assigner.lead_version()),
            },
            AssignerOutput::Order(order) => {
                self.orders += 1;
                let (id, result) = (order.id, OrderResult::Granted);
                AssignerInput::Ordered { id, result }
            }
        };
        Some(answer)
    }

    /// Plays a time and returns the orders that were sent in it.
    fn play(&mut self, length_ms: u64) -> u32 {
        let before = self.orders;
        let end = self.now.after(length_ms);
        while self.now < end {
            self.now = self.now.after(STEP_MS);
            self.give(AssignerInput::Tick);
        }
        self.orders - before
    }
}

/// Guards against keys without an owner when the leader stops while the store is away, so that no
/// other daemon can take its place.
#[test]
fn renews_until_replaced() {
    let mut played = Played::start();
    played.play(3_000);
    assert!(played.assigner.is_leading());
    played.give(AssignerInput::Leave);
    played.is_store_away = true;
    assert!(played.play(4_000) > 0, "no renewal in a whole hold");
    assert!(played.assigner.is_leading());
}

/// Guards against orders of a leader that has been replaced, and against its return to the lead.
#[test]
fn stays_replaced() {
    let mut played = Played::start();
    played.play(3_000);
    played.give(AssignerInput::Leave);
    played.give(AssignerInput::Lead(StoredLead {
        version: RowVersion(100),
        leader: Some(daemon(1)),
    }));
    let attempts = played.attempts;
    assert_eq!(played.play(20_000), 0);
    assert_eq!(played.attempts, attempts);
}

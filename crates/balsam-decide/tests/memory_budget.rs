//! The budget for bytes that a daemon holds. A daemon that holds more is killed by its platform, and
//! with it all requests that it serves.

use balsam_decide::memory::{
    HolderId, MemoryBudget, MemoryInput, MemoryOutput, MemoryRefusal, MemoryTerms, Purpose, Stall,
};
use balsam_types::{KeyHash, TimeMs};
use rstest::rstest;

/// A budget of 80 MB, of which large bodies can use 70 MB, and small ones 75 MB.
const TERMS: MemoryTerms = MemoryTerms {
    total_bytes: 80_000_000,
};

const MB: u64 = 1_000_000;
const SMALL_BYTES: u64 = 24_000;

struct Budget {
    budget: MemoryBudget,
    now: TimeMs,
}

impl Budget {
    fn new() -> Self {
        Self {
            budget: MemoryBudget::new(TERMS),
            now: TimeMs(1_000),
        }
    }

    fn handle(&mut self, input: MemoryInput) -> Vec<MemoryOutput> {
        self.budget.handle(self.now, input)
    }

    fn reserve(&mut self, holder: u64, bytes: u64, purpose: Purpose) -> Vec<MemoryOutput> {
        self.handle(MemoryInput::Reserve {
            holder: HolderId(holder),
            bytes,
            purpose,
        })
    }

    fn body(&mut self, holder: u64, bytes: u64) -> Vec<MemoryOutput> {
        self.reserve(holder, bytes, Purpose::Body)
    }

    fn answer(&mut self, holder: u64, bytes: u64) -> Vec<MemoryOutput> {
        self.reserve(holder, bytes, Purpose::Answer)
    }

    fn end(&mut self, holder: u64) -> Vec<MemoryOutput> {
        self.handle(MemoryInput::End {
            holder: HolderId(holder),
        })
    }

    fn progress(&mut self, holder: u64, stall: Option<Stall>) -> Vec<MemoryOutput> {
        self.handle(MemoryInput::Progress {
            holder: HolderId(holder),
            stall,
        })
    }

    fn held_bytes(&self) -> u64 {
        self.budget.counts().held_bytes
    }
}

fn grant(holder: u64) -> Vec<MemoryOutput> {
    vec![MemoryOutput::Grant(HolderId(holder))]
}

fn give_way(holder: u64, stall: Stall, bytes: u64) -> Vec<MemoryOutput> {
    vec![MemoryOutput::GiveWay {
        holder: HolderId(holder),
        stall,
        bytes,
    }]
}

/// Guards against large uploads that leave nothing for small requests, and against request bodies
/// that leave nothing for the answers to requests that have run.
#[test]
fn reserved_parts() {
    let mut budget = Budget::new();
    assert_eq!(budget.body(1, 70 * MB), grant(1));
    assert_eq!(budget.body(2, MB), [], "no room for another large body");
    assert_eq!(budget.body(3, SMALL_BYTES), grant(3));
    let mut holder = 4;
    while budget.held_bytes() + SMALL_BYTES <= 75 * MB {
        assert_eq!(budget.body(holder, SMALL_BYTES), grant(holder));
        holder += 1;
    }
    assert_eq!(budget.body(holder, SMALL_BYTES), [], "small bodies stop");
    assert_eq!(budget.answer(3, 512 << 10), grant(3));
}

/// Guards against a large upload that is overtaken by others until it is refused.
#[test]
fn arrival_order() {
    let mut budget = Budget::new();
    assert_eq!(budget.body(1, 60 * MB), grant(1));
    assert_eq!(budget.body(2, 20 * MB), []);
    assert_eq!(
        budget.body(3, MB),
        [],
        "the earlier reservation comes first"
    );
    assert_eq!(budget.answer(4, MB), grant(4), "answers do not wait for it");
    let granted = budget.end(1);
    assert_eq!(granted, [grant(2), grant(3)].concat());
    assert_eq!(budget.held_bytes(), 22 * MB);
}

/// Guards against bodies that wait although nothing will be free in time, and against refused
/// callers that return together.
#[test]
fn hopeless_wait() {
    let mut budget = Budget::new();
    assert_eq!(budget.body(1, 60 * MB), grant(1));
    budget.now = budget.now.after(5_000);
    let retry_times: Vec<_> = (2..30)
        .map(|holder| match budget.body(holder, 60 * MB)[..] {
            [MemoryOutput::Refuse(refused, MemoryRefusal::Full { retry_after_ms })] => {
                assert_eq!(refused, HolderId(holder));
                retry_after_ms
            }
            ref other => panic!("{other:?}"),
        })
        .collect();
    let (first, last) = (retry_times.iter().min(), retry_times.iter().max());
    assert!(
        last.unwrap_or(&0) - first.unwrap_or(&0) > 500,
        "{retry_times:?}"
    );
    assert!(
        first.is_some_and(|first| *first >= 5_000),
        "{retry_times:?}"
    );
}

/// Guards against a body that waits without end because the holder before it does not end.
#[test]
fn bounded_wait() {
    let mut budget = Budget::new();
    assert_eq!(budget.body(1, 60 * MB), grant(1));
    assert_eq!(budget.body(2, 20 * MB), []);
    let wake_at = budget.budget.next_wakeup().expect("a time to wake up");
    assert!(wake_at.since(budget.now) <= 2_000);
    budget.now = wake_at;
    let refused = budget.handle(MemoryInput::Tick);
    assert!(
        matches!(
            refused[..],
            [MemoryOutput::Refuse(
                HolderId(2),
                MemoryRefusal::Full { .. }
            )]
        ),
        "{refused:?}"
    );
    assert_eq!(budget.budget.next_wakeup(), None);
    assert_eq!(budget.end(1), [], "a refused body is not granted later");
}

/// Guards against a body that waits for more than the budget can ever give it.
#[rstest]
#[case::at_once(0, 71 * MB)]
#[case::in_parts(40 * MB, 31 * MB)]
fn too_large(#[case] first_bytes: u64, #[case] bytes: u64) {
    let mut budget = Budget::new();
    if first_bytes > 0 {
        assert_eq!(budget.body(1, first_bytes), grant(1));
    }
    let refusal = MemoryOutput::Refuse(HolderId(1), MemoryRefusal::TooLarge);
    assert_eq!(budget.body(1, bytes), [refusal]);
    assert_eq!(budget.held_bytes(), first_bytes);
}

/// Guards against bytes that stay reserved after a caller has disconnected, while it held them or
/// waited for them.
#[test]
fn lost_holders() {
    let mut budget = Budget::new();
    assert_eq!(budget.body(1, 60 * MB), grant(1));
    assert_eq!(budget.body(2, 60 * MB), []);
    assert_eq!(budget.body(3, 60 * MB), []);
    assert_eq!(budget.end(2), [], "a holder is lost while it waits");
    assert_eq!(budget.end(1), grant(3));
    assert_eq!(budget.end(1), [], "an end that arrives twice counts once");
    assert_eq!(budget.end(3), []);
    assert_eq!(budget.held_bytes(), 0);
    assert_eq!(budget.budget.next_wakeup(), None);
}

/// Guards against callers that stop in the middle of a body, or stop reading an answer, and keep
/// their bytes while others wait. A request that runs must not be ended for that.
#[test]
fn stalled_holders() {
    let mut budget = Budget::new();
    let running = 1;
    assert_eq!(budget.body(running, 30 * MB), grant(running));
    assert_eq!(budget.answer(2, 5 * MB), grant(2));
    assert_eq!(budget.body(3, 10 * MB), grant(3));
    assert_eq!(budget.body(4, 20 * MB), grant(4));
    assert_eq!(budget.progress(2, Some(Stall::Answer)), []);
    assert_eq!(budget.progress(3, Some(Stall::Body)), []);
    assert_eq!(budget.progress(4, Some(Stall::Body)), [], "nobody waits");
    assert_eq!(budget.body(5, 20 * MB), give_way(4, Stall::Body, 20 * MB));
    assert_eq!(budget.body(6, 10 * MB), [], "it waits behind the other one");
    let next = give_way(3, Stall::Body, 10 * MB);
    assert_eq!(budget.end(4), [grant(5), next].concat());
    assert_eq!(budget.end(3), grant(6));
    let last = give_way(2, Stall::Answer, 5 * MB);
    assert_eq!(budget.body(7, 10 * MB), last, "a stalled reader comes last");
    assert_eq!(budget.end(2), grant(7));
    assert_eq!(
        budget.body(8, 10 * MB),
        [],
        "a running request is not ended"
    );
}

/// Guards against the end of a caller that has gone on since it stalled.
#[test]
fn resumed_holder() {
    let mut budget = Budget::new();
    assert_eq!(budget.body(1, 60 * MB), grant(1));
    assert_eq!(budget.progress(1, Some(Stall::Body)), []);
    assert_eq!(budget.progress(1, None), []);
    assert_eq!(
        budget.body(2, 60 * MB),
        [],
        "it waits for the holder to end"
    );
    let stalled = budget.progress(1, Some(Stall::Body));
    assert_eq!(stalled, give_way(1, Stall::Body, 60 * MB));
}

/// Guards against sums that drift: after any order of events the bytes held are those of the
/// holders, within the budget, and none are left when all have ended.
#[test]
fn random_events() {
    for seed in 0..200_u64 {
        let mut budget = Budget::new();
        let mut held = [0_u64; 12];
        let mut asked = [0_u64; 12];
        for step in 0..400 {
            let random = KeyHash::of(format!("{seed}/{step}")).0;
            let holder = random % 12;
            let index = holder as usize;
            budget.now = budget.now.after(random >> 8 & 0xff);
            let bytes = 1 + (random >> 16) % (30 * MB);
            let outputs = match random >> 60 {
                0..6 if asked[index] == 0 => {
                    asked[index] = bytes;
                    budget.body(holder, bytes)
                }
                6..8 if asked[index] == 0 => {
                    asked[index] = 1 + bytes % MB;
                    budget.answer(holder, asked[index])
                }
                8..11 => {
                    (held[index], asked[index]) = (0, 0);
                    budget.end(holder)
                }
                11 => {
                    let released = bytes.min(held[index]);
                    held[index] -= released;
                    let holder = HolderId(holder);
                    budget.handle(MemoryInput::Release {
                        holder,
                        bytes: released,
                    })
                }
                12 => budget.progress(holder, Some(Stall::Body)),
                _ => budget.handle(MemoryInput::Tick),
            };
            for output in outputs {
                match output {
                    MemoryOutput::Grant(id) => {
                        let index = id.0 as usize;
                        assert!(asked[index] > 0, "a grant that nobody asked for");
                        held[index] += std::mem::take(&mut asked[index]);
                    }
                    MemoryOutput::Refuse(id, _) => asked[id.0 as usize] = 0,
                    MemoryOutput::GiveWay { .. } => {}
                }
            }
            assert_eq!(budget.held_bytes(), held.iter().sum::<u64>(), "seed {seed}");
            assert!(budget.held_bytes() <= TERMS.total_bytes, "seed {seed}");
        }
        for holder in 0..12 {
            budget.end(holder);
        }
        assert_eq!(budget.held_bytes(), 0, "seed {seed}");
    }
}

/// Guards against sizes by which the smallest machine refuses the longest body that the platform
/// allows, or has no connections left for callers.
#[rstest]
#[case::smallest(120)]
#[case::largest(512)]
fn machine_sizes(#[case] memory_mb: u64) {
    let terms = MemoryTerms::of_machine(memory_mb);
    let mut budget = MemoryBudget::new(terms);
    let longest = MemoryInput::Reserve {
        holder: HolderId(1),
        bytes: 64 << 20,
        purpose: Purpose::Body,
    };
    assert_eq!(budget.handle(TimeMs(0), longest), grant(1));
    assert!(terms.total_bytes < memory_mb * MB * 4 / 5);
    assert!(MemoryTerms::connections_max(memory_mb) >= 1_000);
}

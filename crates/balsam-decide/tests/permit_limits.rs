//! Tests that permits keep all daemons together within the slots of each upstream.

mod room_sim;

use room_sim::{Bench, DEADLINE_MS, SLOTS, ask};

/// Guards against permits that never expire because messages arrive more often than the keeper's
/// ticks are due, each of which put the tick off.
#[test]
fn steady_messages() {
    let mut bench = Bench::new(1);
    bench.fill(1, 1);
    for id in 10..10 + u64::from(DEADLINE_MS) / 5 + 20 {
        bench.now = bench.now.after(5);
        if bench.keeper.next_wakeup().is_some_and(|at| at <= bench.now) {
            bench.wait(0);
        }
        bench.ask(room_sim::Ask {
            deadline_left_ms: 100,
            ..ask(id, 0)
        });
    }
    assert!(bench.keeper.counts().expired >= u64::from(SLOTS));
}

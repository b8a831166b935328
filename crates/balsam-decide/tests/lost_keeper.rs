//! Tests that every request is decided once and in time when keepers or messages are lost.

mod room_sim;

use balsam_decide::pool::{PoolInput, PoolOutput, RequestId};
use balsam_types::TimeMs;
use room_sim::{
    answer, asked, cluster, decided, grant, keeper_list, pool, request, returned, upstream,
};
use std::sync::Arc;

/// Guards against a slot that waits for a request whose caller has gone.
#[test]
fn cancelled_request() {
    let now = TimeMs(100_000);
    let known = upstream(1, 0);
    let keepers = keeper_list(1, &[(5, 0)]);
    let mut pool = pool(now, cluster(&[Arc::clone(&known)], false, 59, &keepers));
    let asked = asked(&pool.handle(now, PoolInput::Request(request(now, 1, 2_000))));
    let cancelled = pool.handle(now, PoolInput::Cancel(RequestId(1)));
    assert_eq!(returned(&cancelled), [asked[0].id]);
    let late = pool.handle(now, answer(5, asked[0].id, grant(&known)));
    assert!(
        !late
            .iter()
            .any(|output| matches!(output, PoolOutput::Send { .. }))
    );
}

/// Guards against silent keepers that are not noticed because other inputs of the pool arrive more
/// often than its ticks are due, each of which put the tick off.
#[test]
fn steady_requests() {
    let now = TimeMs(100_000);
    let keepers = keeper_list(1, &[(5, 0)]);
    let mut pool = pool(now, cluster(&[upstream(1, 0)], false, 59, &keepers));
    let mut sent = 0;
    for ms in (0..=120).step_by(10) {
        let at = now.after(ms);
        if pool.next_wakeup().is_some_and(|due| due <= at) {
            sent += decided(&pool.handle(at, PoolInput::Tick)).0;
        }
        let outputs = pool.handle(at, PoolInput::Request(request(at, ms + 1, 2_000)));
        sent += decided(&outputs).0;
    }
    assert!(sent > 0);
}

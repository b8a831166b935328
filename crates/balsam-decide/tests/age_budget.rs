//! Checks that the waits until a daemon knows a change add up to less than the bound.

use balsam_decide::feed::{FEED_LEADER_LONG_POLL_MS, FeedTiming};
use rstest::rstest;

/// How long a reading may wait for the other table's, in milliseconds.
const BROADCAST_WAIT_MS: u64 = 250;

/// Time for two hops between daemons and for their processing, in milliseconds.
const WAY_MS: u64 = 250;

/// Time for a call to the store, in milliseconds.
const CALL_MS: u64 = 500;

/// Guards that daemons call the store only if something fails, and that those that do know a change
/// and have sent their requests within the bound.
#[rstest]
fn waits_fit(#[values(0, 500, 2_000, 2_500, 3_000, 6_000, 60_000)] bound_ms: u64) {
    let timing = FeedTiming::new(bound_ms);
    let bound_ms = bound_ms.max(2_000);
    let usual_ms = FEED_LEADER_LONG_POLL_MS + BROADCAST_WAIT_MS + WAY_MS;
    assert!(usual_ms < timing.first_read_age_ms());
    assert!(timing.first_read_age_ms() < timing.last_read_age_ms());
    assert!(timing.last_read_age_ms() + CALL_MS <= timing.serve_max_age_ms());
    assert!(timing.serve_max_age_ms() + bound_ms / 20 <= bound_ms);
}

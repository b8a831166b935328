//! Tests how soon a daemon learns of changes that the leader follows on its behalf.

use balsam_decide::feed::{Feed, FeedSource, FeedTable};
use balsam_types::TimeMs;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const TABLE: FeedTable = FeedTable::Upstreams;

/// The time between two heartbeats of the leader.
const HEARTBEAT_MS: u64 = 250;

/// Returns the feed of a daemon that has read both tables at version 10.
fn feed_at_10(now: TimeMs) -> Feed {
    let mut feed = Feed::new();
    for table in FeedTable::ALL {
        feed.record_response(now, table, 10, true);
    }
    feed
}

/// Guards that a daemon makes no calls to the store while the leader knows the newest version.
#[test]
fn leader_relays() {
    let (mut leader, mut daemon) = (feed_at_10(TimeMs(0)), feed_at_10(TimeMs(0)));
    for step in 1..40 {
        let now = TimeMs(step * HEARTBEAT_MS);
        for table in FeedTable::ALL {
            leader.record_response(now, table, 10 + step, false);
        }
        daemon.heard(now, leader.state(now));
        assert_eq!(daemon.source(now, TABLE), FeedSource::Leader, "at {now:?}");
        assert_eq!(daemon.seen(TABLE), Some(10 + step));
    }
}

/// Guards that a daemon notices a lost delta at the next heartbeat, and follows the store itself
/// until it has read the gap.
#[test]
fn lost_delta() {
    let (mut leader, mut daemon) = (feed_at_10(TimeMs(0)), feed_at_10(TimeMs(0)));
    leader.record_response(TimeMs(100), TABLE, 20, true);
    leader.record_response(TimeMs(200), TABLE, 30, true);
    assert!(
        !daemon.accept_delta(TimeMs(200), TABLE, 20, 30),
        "the delta to 20 was lost"
    );
    daemon.heard(TimeMs(250), leader.state(TimeMs(250)));
    assert_eq!(daemon.source(TimeMs(250), TABLE), FeedSource::Store);
    assert_eq!(daemon.seen(TABLE), Some(10), "the gap is not read yet");
    daemon.record_response(TimeMs(300), TABLE, 31, true);
    assert_eq!(daemon.source(TimeMs(300), TABLE), FeedSource::Leader);
}

/// Guards against deltas and snapshots that are accepted twice or out of order.
#[test]
fn late_deltas() {
    let mut daemon = feed_at_10(TimeMs(0));
    assert!(daemon.accept_delta(TimeMs(1), TABLE, 10, 20));
    assert!(
        !daemon.accept_delta(TimeMs(2), TABLE, 10, 20),
        "a duplicate delta"
    );
    assert!(daemon.accept_delta(TimeMs(3), TABLE, 20, 30));
    assert!(
        !daemon.accept_delta(TimeMs(4), TABLE, 10, 20),
        "an older delta"
    );
    assert!(
        !daemon.accept_snapshot(TimeMs(5), TABLE, 30),
        "an older snapshot"
    );
    assert!(daemon.accept_snapshot(TimeMs(6), TABLE, 31));
}

/// Guards that a leader whose calls the store refuses is replaced by a daemon that the store
/// responds to, and by no other.
#[test]
fn leader_without_store() {
    let (mut leader, mut reachable, mut cut_off) = (
        feed_at_10(TimeMs(0)),
        feed_at_10(TimeMs(0)),
        feed_at_10(TimeMs(0)),
    );
    leader.record_failure(TABLE);
    cut_off.record_failure(TABLE);
    for step in 1..=16 {
        let now = TimeMs(step * HEARTBEAT_MS);
        for table in FeedTable::ALL {
            reachable.record_response(now, table, 10, false);
        }
        reachable.heard(now, leader.state(now));
        cut_off.heard(now, leader.state(now));
        assert_eq!(reachable.source(now, TABLE), FeedSource::Store);
    }
    let now = TimeMs(16 * HEARTBEAT_MS);
    assert!(reachable.should_replace(now));
    assert!(!cut_off.should_replace(now));
}

/// Guards that a daemon whose own calls failed does not take the next response for the end of an
/// outage if the store has responded to the leader meanwhile: it would keep upstreams that have
/// left since, and send them requests.
#[test]
fn returned_alone() {
    let (mut leader, mut daemon) = (feed_at_10(TimeMs(0)), feed_at_10(TimeMs(0)));
    daemon.record_failure(TABLE);
    for step in 1..40 {
        let now = TimeMs(step * HEARTBEAT_MS);
        for table in FeedTable::ALL {
            leader.record_response(now, table, 10, false);
        }
        daemon.heard(now, leader.state(now));
    }
    assert!(!daemon.record_response(TimeMs(10_000), TABLE, 20, true));
}

/// Guards that a daemon notices the end of an outage if the store did not respond to the leader
/// either.
#[test]
fn returned_for_all() {
    let (mut leader, mut daemon) = (feed_at_10(TimeMs(0)), feed_at_10(TimeMs(0)));
    for step in 1..40 {
        let now = TimeMs(step * HEARTBEAT_MS);
        for table in FeedTable::ALL {
            leader.record_failure(table);
            daemon.record_failure(table);
        }
        daemon.heard(now, leader.state(now));
    }
    assert!(daemon.record_response(TimeMs(10_000), TABLE, 20, true));
    assert!(!daemon.record_response(TimeMs(10_500), TABLE, 20, false));
}

/// Guards that a daemon asks for a snapshot only if it cannot read an announced change from the
/// store in time.
#[test]
fn overdue_change() {
    let (mut leader, mut daemon) = (feed_at_10(TimeMs(0)), feed_at_10(TimeMs(0)));
    leader.record_response(TimeMs(100), TABLE, 20, true);
    daemon.heard(TimeMs(250), leader.state(TimeMs(250)));
    assert!(!daemon.needs_snapshot(TimeMs(500), TABLE));
    assert!(daemon.needs_snapshot(TimeMs(1_000), TABLE));
    daemon.accept_snapshot(TimeMs(1_050), TABLE, 20);
    assert!(!daemon.needs_snapshot(TimeMs(1_100), TABLE));
}

/// Guards that a daemon knows a change within 1.5 s, although the leader freezes, its datagrams are
/// lost and it is cut off from the store. Daemons must know within 2 s that an upstream is leaving.
#[test]
fn known_in_time() {
    for seed in 0..2_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut leader, mut daemon) = (feed_at_10(TimeMs(0)), feed_at_10(TimeMs(0)));
        let mut last_change = (TimeMs(0), 10);
        let mut delta_base = 10;
        let (mut leader_frozen_until_ms, mut leader_cut_off_until_ms) = (0, 0);
        for now in (50..30_000).step_by(50).map(TimeMs) {
            if rng.random_bool(0.01) {
                last_change = (now, last_change.1 + 10);
            }
            if rng.random_bool(0.002) {
                leader_frozen_until_ms = now.0 + rng.random_range(500..8_000);
            }
            if rng.random_bool(0.003) {
                leader_cut_off_until_ms = now.0 + rng.random_range(500..8_000);
            }
            let is_frozen = now.0 < leader_frozen_until_ms;
            if !is_frozen && now.0.is_multiple_of(100) {
                for table in FeedTable::ALL {
                    if now.0 < leader_cut_off_until_ms {
                        leader.record_failure(table);
                        continue;
                    }
                    let has_changes = table == TABLE && leader.seen(table) < Some(last_change.1);
                    leader.record_response(now, table, last_change.1, has_changes);
                    if has_changes {
                        if rng.random_bool(0.8) {
                            daemon.accept_delta(now, TABLE, delta_base, last_change.1);
                        }
                        delta_base = last_change.1;
                    }
                }
            }
            if !is_frozen && now.0.is_multiple_of(HEARTBEAT_MS) && rng.random_bool(0.9) {
                daemon.heard(now, leader.state(now));
            }
            for table in FeedTable::ALL {
                if daemon.source(now, table) == FeedSource::Store {
                    let has_changes = table == TABLE && daemon.seen(table) < Some(last_change.1);
                    daemon.record_response(now, table, last_change.1, has_changes);
                }
            }
            let is_known = daemon.seen(TABLE) >= Some(last_change.1);
            let age_ms = now.since(last_change.0);
            assert!(
                is_known || age_ms <= 1_500,
                "seed {seed}: {age_ms} ms at {now:?}"
            );
        }
    }
}

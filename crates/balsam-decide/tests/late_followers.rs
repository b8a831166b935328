//! Guards against daemons of a large deployment that go on serving from old tables without noticing
//! it, although the store would answer them.

mod feeds;

use balsam_decide::feed::{
    Feed, FeedReading, FeedSource, FeedState, FeedTable, FeedTiming, StoreTimeMs, TableReading,
    TableState,
};
use balsam_types::TimeMs;
use feeds::respond;

const TABLE: FeedTable = FeedTable::Upstreams;

/// Number of daemons of the deployment, of which the first is the leader.
const DAEMONS: u32 = 295;

/// The time between two heartbeats of the leader.
const HEARTBEAT_MS: u64 = 250;

/// Time in which a daemon must act by a change that the store has acknowledged.
const BOUND_MS: u64 = 3_000;

/// Interval of the schedules.
const STEP_MS: u64 = 10;

/// When the change happens. All daemons are current until then.
const CHANGED_AT: TimeMs = TimeMs(10_000);

/// Returns the feed of a daemon that has read both tables at version 16.
fn feed_at_16(now: TimeMs, turn: u64) -> Feed {
    let timing = FeedTiming::new(BOUND_MS);
    let mut feed = Feed::new().with_turn(turn).with_timing(timing);
    feed.set_daemons(DAEMONS);
    for table in FeedTable::ALL {
        respond(&mut feed, now, table, 16, true);
    }
    feed
}

/// Delivers a heartbeat of a leader that the store answered at `read_at`, and what it has read.
fn deliver_heartbeat(feed: &mut Feed, now: TimeMs, version: u64, read_at: TimeMs, sent_at: TimeMs) {
    let state = TableState {
        changed: version,
        seen: version,
    };
    feed.heard(
        now,
        FeedState {
            config: state,
            upstreams: state,
            age_ms: sent_at.since(read_at),
        },
    );
    let reading = TableReading {
        state,
        read_at: StoreTimeMs(read_at.0),
    };
    feed.record_peer_reading(
        now,
        FeedReading {
            config: reading,
            upstreams: reading,
        },
    );
}

/// Plays a schedule from a change on, and returns how long the daemon takes to read the store.
fn first_call_ms(turn: u64, mut play: impl FnMut(&mut Feed, TimeMs)) -> Option<u64> {
    let mut feed = feed_at_16(CHANGED_AT, turn);
    deliver_heartbeat(&mut feed, CHANGED_AT, 16, CHANGED_AT, CHANGED_AT);
    let steps = (STEP_MS..4 * BOUND_MS).step_by(STEP_MS as usize);
    steps.into_iter().find(|elapsed_ms| {
        let now = CHANGED_AT.after(*elapsed_ms);
        play(&mut feed, now);
        feed.source(now, TABLE) == FeedSource::Store
    })
}

/// Returns whether a heartbeat of the leader is sent.
fn is_heartbeat(now: TimeMs) -> bool {
    now.0.is_multiple_of(HEARTBEAT_MS)
}

/// The leader's heartbeats arrive in time and say that its own calls to the store take long, so that
/// the other daemons call in turns.
#[test]
fn starved_leader() {
    let late: Vec<(u64, Option<u64>)> = (0..1_000)
        .step_by(4)
        .map(|turn| {
            let called_ms = first_call_ms(turn, |feed, now| {
                if is_heartbeat(now) {
                    deliver_heartbeat(feed, now, 16, CHANGED_AT, now);
                }
            });
            (turn, called_ms)
        })
        .filter(|(_, called_ms)| called_ms.is_none_or(|called_ms| called_ms >= BOUND_MS))
        .collect();
    assert!(late.is_empty(), "{} of 250 turns: {late:?}", late.len());
}

/// Heartbeats that were sent before a change arrive after ones that announce it, because another
/// daemon that passes them on is slower.
#[test]
fn overtaken_heartbeats() {
    let called_ms = first_call_ms(500, |feed, now| {
        let read_at = now.before(100);
        if now.0.is_multiple_of(2 * HEARTBEAT_MS) {
            deliver_heartbeat(feed, now, 18, read_at, now);
        } else if is_heartbeat(now) {
            deliver_heartbeat(feed, now, 16, CHANGED_AT.before(100), CHANGED_AT);
        }
    });
    assert!(
        called_ms.is_some_and(|called_ms| called_ms < BOUND_MS),
        "first call: {called_ms:?}"
    );
}

/// Each heartbeat has waited for as long as the bound, in a socket or at a daemon that passes it on,
/// and so was sent before the change.
#[test]
fn delayed_heartbeats() {
    let called_ms = first_call_ms(500, |feed, now| {
        if is_heartbeat(now) {
            let sent_at = now.before(BOUND_MS);
            let version = if sent_at < CHANGED_AT { 16 } else { 18 };
            deliver_heartbeat(feed, now, version, sent_at.before(100), sent_at);
        }
    });
    assert!(
        called_ms.is_some_and(|called_ms| called_ms < BOUND_MS),
        "first call: {called_ms:?}"
    );
}

//! Feeds of daemons whose clocks show the same time as the store's.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use balsam_decide::feed::{Feed, FeedTable, StoreResponse, StoreTimeMs};
use balsam_types::TimeMs;

/// Records a response of the store to a call that took no time.
pub fn respond(
    feed: &mut Feed,
    now: TimeMs,
    table: FeedTable,
    version: u64,
    has_changes: bool,
) -> bool {
    let response = StoreResponse {
        asked_at: now,
        store_now: StoreTimeMs(now.0),
        version,
        has_changes,
    };
    feed.record_response(now, table, response)
}

/// Delivers a heartbeat of the leader, and what it has read from the store.
pub fn deliver_heartbeat(daemon: &mut Feed, now: TimeMs, leader: &Feed) {
    daemon.heard(now, leader.state(now));
    if let Some(reading) = leader.reading() {
        daemon.record_peer_reading(now, reading);
    }
}

//! Divides the receivers of a message among daemons that pass it on.

use balsam_types::{Set, TimeMs, new_set};
use std::net::SocketAddr;

/// Number of receivers up to which a daemon sends a message to each of them itself.
pub const DIRECT_RECEIVERS_MAX: usize = 24;

/// Time after which other daemons pass messages on, in milliseconds.
///
/// Messages of one turn take the same way and so arrive in order, while a relay that has failed
/// misses its receivers only for one turn. It must not exceed the interval of heartbeats, of which
/// several in a row would be lost otherwise.
const TURN_MS: u64 = 250;

/// Pause of its timer after which a daemon takes itself for having been suspended, in milliseconds.
const SUSPENDED_MS: u64 = 1_000;

/// How long a daemon passes nothing on after it was suspended, in milliseconds. The messages that
/// have waited for it arrive in this time.
const STALE_MESSAGES_MS: u64 = 200;

/// A daemon that passes a message on, and those that it passes it on to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayGroup {
    /// The daemon that passes the message on.
    pub relay: SocketAddr,
    /// The daemons that it passes the message on to.
    pub receivers: Vec<SocketAddr>,
}

/// Divides `receivers` into groups with a relay each, so that the sender and each relay send about
/// the square root of their number of messages.
///
/// `candidates` are the receivers that are known to be running. Returns `None` if the sender should
/// send all messages itself, because they are few or because there are not enough candidates.
pub fn relay_groups(
    now: TimeMs,
    receivers: &[SocketAddr],
    candidates: &[SocketAddr],
) -> Option<Vec<RelayGroup>> {
    let count = receivers.len().isqrt() + 1;
    if receivers.len() <= DIRECT_RECEIVERS_MAX || candidates.len() < count {
        return None;
    }
    let first = (now.0 / TURN_MS) as usize * count;
    let relays = (0..count).map(|index| candidates[(first + index) % candidates.len()]);
    let mut groups: Vec<RelayGroup> = relays
        .map(|relay| RelayGroup {
            relay,
            receivers: Vec::new(),
        })
        .collect();
    let mut chosen: Set<SocketAddr> = new_set();
    chosen.extend(groups.iter().map(|group| group.relay));
    let others = receivers
        .iter()
        .filter(|receiver| !chosen.contains(*receiver));
    for (index, receiver) in others.enumerate() {
        groups[index % count].receivers.push(*receiver);
    }
    Some(groups)
}

/// Keeps a daemon that was suspended from passing on messages that have waited for it.
///
/// The receivers would take an old heartbeat for a sign that the leader runs and knows all changes.
/// Only the daemon's own timer shows a suspension: messages are also missing while there is no
/// leader, and those of the next one must be passed on at once.
#[derive(Debug)]
pub struct SuspensionGuard {
    ran_at: TimeMs,
    passes_on_from: TimeMs,
}

impl SuspensionGuard {
    /// Interval at which [`Self::record_run`] must be called, in milliseconds.
    pub const INTERVAL_MS: u64 = 250;

    /// Creates the guard of a daemon that has just started.
    pub const fn new(now: TimeMs) -> Self {
        Self {
            ran_at: now,
            passes_on_from: now,
        }
    }

    /// Records that the daemon runs.
    pub fn record_run(&mut self, now: TimeMs) {
        let pause_ms = now.since(std::mem::replace(&mut self.ran_at, now));
        if pause_ms > SUSPENDED_MS {
            self.passes_on_from = now.after(STALE_MESSAGES_MS);
        }
    }

    /// Returns whether a message that has just arrived may be passed on.
    pub fn may_pass_on(&mut self, now: TimeMs) -> bool {
        self.record_run(now);
        now >= self.passes_on_from
    }
}

//! How long callers of a route usually wait, from which the age of a returning caller follows.

use balsam_types::{Map, Route, RouteName, TimeMs, new_map};

/// Time over which the longest wait of a route is remembered, in milliseconds.
const WINDOW_MS: u64 = 5_000;

/// Number of routes that are remembered. With more, which removed routes may cause, all are dropped.
const ROUTES_MAX: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Waits {
    since: TimeMs,
    longest_ms: u64,
    longest_before_ms: u64,
}

/// The longest times that callers of each route have lately been ready to wait.
///
/// A caller that was refused returns with what is left of its time. Its objective counts from its
/// first attempt, so that less of it is left than for a new caller.
#[derive(Debug)]
pub(super) struct CallerPatience {
    waits: Map<RouteName, Waits>,
}

impl CallerPatience {
    /// Creates a collection without routes.
    pub(super) fn new() -> Self {
        Self { waits: new_map() }
    }

    /// Records how long a caller waits, and returns how long it has probably waited before.
    ///
    /// Waits count up to the timeout of the route, so that one caller with a far deadline does not
    /// make all others look as if they had returned.
    pub(super) fn record(&mut self, now: TimeMs, route: &Route, wait_ms: u64) -> u64 {
        let wait_ms = wait_ms.min(route.timeout_ms);
        if self.waits.len() > ROUTES_MAX {
            self.waits.clear();
        }
        let waits = self.waits.entry(route.name.clone()).or_insert(Waits {
            since: now,
            longest_ms: wait_ms,
            longest_before_ms: wait_ms,
        });
        if now.since(waits.since) >= WINDOW_MS {
            waits.since = now;
            waits.longest_before_ms = waits.longest_ms;
            waits.longest_ms = wait_ms;
        }
        waits.longest_ms = waits.longest_ms.max(wait_ms);
        let usual_ms = waits.longest_ms.max(waits.longest_before_ms);
        usual_ms.saturating_sub(wait_ms)
    }
}

//! The filter that holds requests while the daemon cannot show that its tables are young enough.
//!
//! A daemon that had no processor time for a while still has the tables of before, and requests may
//! get their turn sooner than the news that has arrived meanwhile. See
//! [the platform page](../../../../docs/platform.md#age-of-the-tables).

use crate::clock::{instant_at, now};
use crate::metrics::EdgeMetrics;
use balsam_types::TimeMs;
use tokio::sync::watch;
use tokio::time::timeout_at;

/// How long a request is held at most, in milliseconds: the time of a call to a slow store, and of
/// the processing of what has arrived.
const HOLD_MAX_MS: u64 = 1_000;

/// Holds requests until the control task has shown that the tables are current; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct FreshnessGate {
    /// Until when requests may be served.
    serves_until: watch::Receiver<TimeMs>,
    metrics: EdgeMetrics,
}

impl FreshnessGate {
    /// Creates a gate that opens until the published time.
    pub(crate) const fn new(serves_until: watch::Receiver<TimeMs>, metrics: EdgeMetrics) -> Self {
        Self {
            serves_until,
            metrics,
        }
    }

    /// Waits until requests may be served. Returns `false` if that takes longer than until
    /// `deadline`, or so long that the caller better goes elsewhere.
    pub(super) async fn pass(&self, deadline: TimeMs) -> bool {
        let is_current = |until: &TimeMs| now() < *until;
        if is_current(&self.serves_until.borrow()) {
            return true;
        }
        let mut serves_until = self.serves_until.clone();
        let give_up_at = deadline.min(now().after(HOLD_MAX_MS));
        let opened = timeout_at(instant_at(give_up_at), serves_until.wait_for(is_current)).await;
        let is_current = opened.is_ok_and(|until| until.is_ok());
        self.metrics.request_held(is_current);
        is_current
    }
}

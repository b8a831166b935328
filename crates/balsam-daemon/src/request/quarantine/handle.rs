//! The handle through which dispatch tasks report crashes.

use balsam_types::{Fingerprint, ServiceName, TimeMs};
use tokio::sync::mpsc;

/// A request that broke its upstream connection before the answer's head.
#[derive(Debug)]
pub(super) struct Crash {
    pub(super) service: ServiceName,
    pub(super) fingerprint: Fingerprint,
    pub(super) sent_at: TimeMs,
}

/// A cheap handle to the task.
#[derive(Clone, Debug)]
pub(crate) struct Crashes {
    crashes: mpsc::Sender<Crash>,
}

impl Crashes {
    pub(super) const fn new(crashes: mpsc::Sender<Crash>) -> Self {
        Self { crashes }
    }

    /// Reports a request that broke its upstream connection before the answer's head.
    pub(crate) fn report(&self, service: ServiceName, fingerprint: Fingerprint, sent_at: TimeMs) {
        let crash = Crash {
            service,
            fingerprint,
            sent_at,
        };
        if self.crashes.try_send(crash).is_err() {
            log::warn!("too many crashed connections to count");
        }
    }
}

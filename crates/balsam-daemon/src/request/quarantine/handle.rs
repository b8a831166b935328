//! The handle through which forward tasks report crashes.

use balsam_types::{Fingerprint, ServiceName, TimeMs};
use tokio::sync::mpsc;

/// A request whose upstream connection broke before the head of the answer.
#[derive(Debug)]
pub(super) struct Crash {
    pub(super) service: ServiceName,
    pub(super) fingerprint: Fingerprint,
    pub(super) sent_at: TimeMs,
}

/// A handle to the quarantine task.
#[derive(Clone, Debug)]
pub(crate) struct CrashReporter {
    crashes: mpsc::Sender<Crash>,
}

impl CrashReporter {
    pub(super) const fn new(crashes: mpsc::Sender<Crash>) -> Self {
        Self { crashes }
    }

    /// Reports a request whose upstream connection broke before the head of the answer.
    pub(crate) fn report(&self, service: ServiceName, fingerprint: Fingerprint, sent_at: TimeMs) {
        let crash = Crash {
            service,
            fingerprint,
            sent_at,
        };
        if self.crashes.try_send(crash).is_err() {
            log::warn!("crash report dropped: the quarantine queue is full");
        }
    }
}

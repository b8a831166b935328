//! The task that counts requests that break their upstream connections.
//!
//! See [the design page, section 8](../../../../../docs/design.md#8-outcomes-and-orders).

use crate::control::decide::ControlHandle;
use crate::control::edge::TableClient;
use balsam_decide::node::View;
use balsam_types::control::QuarantineEntry;
use balsam_types::{Fingerprint, Map, ServiceName, new_map};
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// Crashes that may wait to be counted.
const QUEUE: usize = 256;

/// Requests that are counted at once; beyond that the counts start again.
const COUNTED_MAX: usize = 4_096;

#[derive(Debug)]
struct Crash {
    service: ServiceName,
    fingerprint: Fingerprint,
}

/// A cheap handle to the task.
#[derive(Clone, Debug)]
pub(crate) struct Crashes {
    crashes: mpsc::Sender<Crash>,
}

impl Crashes {
    /// Reports a request that broke its upstream connection before the answer's head.
    pub(crate) fn report(&self, service: ServiceName, fingerprint: Fingerprint) {
        let crash = Crash {
            service,
            fingerprint,
        };
        if self.crashes.try_send(crash).is_err() {
            log::warn!("too many crashed connections to count");
        }
    }
}

/// Starts the task; it ends when every handle is dropped.
pub(crate) fn start_crashes(
    views: &watch::Receiver<Arc<View>>,
    control: &ControlHandle,
    table: &TableClient,
) -> Crashes {
    let (crashes, receiver) = mpsc::channel(QUEUE);
    tokio::spawn(run(views.clone(), control.clone(), table.clone(), receiver));
    Crashes { crashes }
}

async fn run(
    views: watch::Receiver<Arc<View>>,
    control: ControlHandle,
    table: TableClient,
    mut crashes: mpsc::Receiver<Crash>,
) {
    let mut counted: Map<Fingerprint, u32> = new_map();
    while let Some(Crash {
        service,
        fingerprint,
    }) = crashes.recv().await
    {
        if counted.len() >= COUNTED_MAX {
            counted.clear();
        }
        let own = counted.entry(fingerprint).or_default();
        *own += 1;
        // While the table does not answer, this dispatcher's own count applies.
        let shared = table.count_crash(service.clone(), fingerprint).await;
        let count = shared.unwrap_or(*own);
        let view = Arc::clone(&views.borrow());
        let Some(policy) = view.state.settings.service_policy(&service) else {
            continue;
        };
        if count >= policy.quarantine_crashes {
            counted.remove(&fingerprint);
            control.quarantine(QuarantineEntry {
                fingerprint,
                service,
                crashes: count,
                ttl_ms: policy.quarantine_ttl_ms,
            });
        }
    }
}

//! Messages between exchanges and the task of the memory budget.

use super::Held;
use balsam_decide::memory::{HolderId, MemoryRefusal, Purpose, Stall};
use tokio::sync::{mpsc, oneshot};

/// A message to the task of the budget.
#[derive(Debug)]
pub(super) enum MemoryMessage {
    /// An exchange needs more bytes.
    Reserve {
        /// The holder, once it has reserved bytes before.
        holder: Option<HolderId>,
        bytes: u64,
        purpose: Purpose,
        reply: ReserveReply,
    },
    /// The caller of a holder has stalled, or no longer stalls.
    Progress {
        holder: HolderId,
        stall: Option<Stall>,
    },
}

/// Where the answer to a reservation goes.
pub(super) type ReserveReply = oneshot::Sender<Result<HolderLink, MemoryRefusal>>;

/// A report that a holder needs fewer bytes.
#[derive(Clone, Copy, Debug)]
pub(super) enum ReleaseMessage {
    /// Some bytes are no longer needed.
    Release { holder: HolderId, bytes: u64 },
    /// The holder has ended.
    End { holder: HolderId },
}

/// The connection of a holder to the budget. Dropping it ends the holder, also if the grant that
/// carries it arrives after its exchange was cancelled.
#[derive(Debug)]
pub(super) struct HolderLink {
    pub(super) id: HolderId,
    /// Receives the request to give way.
    pub(super) give_way: Option<mpsc::Receiver<()>>,
    // Each grant leads to one message and each holder to one more, so the reservations bound this
    // channel.
    pub(super) releases: Option<mpsc::UnboundedSender<ReleaseMessage>>,
}

impl HolderLink {
    /// Reports that bytes are no longer needed.
    pub(super) fn release(&self, bytes: u64) {
        if let Some(releases) = &self.releases {
            let holder = self.id;
            // The task may have ended, in which case nobody counts the bytes.
            let _ = releases.send(ReleaseMessage::Release { holder, bytes });
        }
    }
}

impl Drop for HolderLink {
    fn drop(&mut self) {
        if let Some(releases) = self.releases.take() {
            let holder = self.id;
            // The task may have ended, in which case nobody counts the bytes.
            let _ = releases.send(ReleaseMessage::End { holder });
        }
    }
}

/// A handle of the budget; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) enum MemoryClient {
    /// The memory of the machine is not configured, so that nothing is counted.
    Unlimited,
    /// The budget is kept by a task.
    Limited(LimitedClient),
}

/// A handle of the task of the budget.
#[derive(Clone, Debug)]
pub(crate) struct LimitedClient {
    pub(super) messages: mpsc::Sender<MemoryMessage>,
}

impl MemoryClient {
    /// Returns whether bytes are counted.
    pub(crate) const fn is_limited(&self) -> bool {
        matches!(self, Self::Limited(_))
    }

    /// Starts an exchange that holds nothing. It may hold `free_bytes` without a reservation.
    pub(crate) fn hold(&self, free_bytes: u64) -> Held {
        Held::new(self.clone(), free_bytes)
    }
}

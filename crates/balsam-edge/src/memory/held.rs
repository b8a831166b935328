//! The bytes that one exchange holds.

use super::message::{HolderLink, MemoryClient, MemoryMessage};
use crate::clock::{instant_at, now};
use balsam_decide::memory::{MemoryRefusal, ProgressMeter, Purpose, Stall};
use tokio::sync::oneshot;
use tokio::time::sleep_until;

/// Refusal of a reservation that the budget's task did not answer.
const BUSY: MemoryRefusal = MemoryRefusal::Full {
    retry_after_ms: 1_000,
};

/// The bytes that one exchange holds. Dropping it releases them.
#[derive(Debug)]
pub(crate) struct Held {
    client: MemoryClient,
    /// Bytes that need no reservation.
    free_bytes: u64,
    used_bytes: u64,
    reserved_bytes: u64,
    link: Option<HolderLink>,
    meter: ProgressMeter,
    /// Whether the budget was told that the caller has stalled.
    is_reported: bool,
}

/// State of a reservation.
#[derive(Debug)]
pub(crate) enum Reserving {
    /// The bytes may be held.
    Done,
    /// The budget has not answered yet.
    Pending(PendingBytes),
}

/// A reservation that the budget has not answered yet.
#[derive(Debug)]
pub(crate) struct PendingBytes {
    asked_bytes: u64,
    used_bytes: u64,
    reserved_bytes: u64,
    answer: oneshot::Receiver<Result<HolderLink, MemoryRefusal>>,
}

/// A reservation that was made, to be given to [`Held::complete`].
#[derive(Debug)]
pub(crate) struct GrantedBytes {
    used_bytes: u64,
    reserved_bytes: u64,
    link: HolderLink,
}

impl PendingBytes {
    /// Returns the bytes that were asked for.
    pub(crate) const fn bytes(&self) -> u64 {
        self.asked_bytes
    }

    /// Waits for the answer of the budget. May be cancelled and called again.
    pub(crate) async fn answer(&mut self) -> Result<GrantedBytes, MemoryRefusal> {
        let link = (&mut self.answer).await.unwrap_or(Err(BUSY))?;
        Ok(GrantedBytes {
            used_bytes: self.used_bytes,
            reserved_bytes: self.reserved_bytes,
            link,
        })
    }
}

impl Held {
    /// Starts an exchange that holds nothing.
    pub(super) fn new(client: MemoryClient, free_bytes: u64) -> Self {
        Self {
            client,
            free_bytes,
            used_bytes: 0,
            reserved_bytes: 0,
            link: None,
            meter: ProgressMeter::new(now()),
            is_reported: false,
        }
    }

    /// Asks for bytes in addition to those that the exchange holds.
    pub(crate) fn start_reserving(
        &mut self,
        bytes: u64,
        purpose: Purpose,
    ) -> Result<Reserving, MemoryRefusal> {
        let MemoryClient::Limited(client) = &self.client else {
            return Ok(Reserving::Done);
        };
        let used_bytes = self.used_bytes + bytes;
        let reserved_bytes = used_bytes.saturating_sub(self.free_bytes);
        let missing_bytes = reserved_bytes.saturating_sub(self.reserved_bytes);
        if missing_bytes == 0 {
            self.used_bytes = used_bytes;
            return Ok(Reserving::Done);
        }
        let (reply, answer) = oneshot::channel();
        let message = MemoryMessage::Reserve {
            holder: self.link.as_ref().map(|link| link.id),
            bytes: missing_bytes,
            purpose,
            reply,
        };
        client.messages.try_send(message).map_err(|_| BUSY)?;
        Ok(Reserving::Pending(PendingBytes {
            asked_bytes: bytes,
            used_bytes,
            reserved_bytes,
            answer,
        }))
    }

    /// Takes over the bytes of a reservation that was made.
    pub(crate) fn complete(&mut self, granted: GrantedBytes) {
        self.used_bytes = granted.used_bytes;
        self.reserved_bytes = granted.reserved_bytes;
        self.link.get_or_insert(granted.link);
        self.meter.restart(now());
    }

    /// Waits until the exchange may hold `bytes` more.
    pub(crate) async fn reserve(
        &mut self,
        bytes: u64,
        purpose: Purpose,
    ) -> Result<(), MemoryRefusal> {
        if let Reserving::Pending(mut pending) = self.start_reserving(bytes, purpose)? {
            let granted = pending.answer().await?;
            self.complete(granted);
        }
        Ok(())
    }

    /// Releases bytes that are no longer held.
    pub(crate) fn release(&mut self, bytes: u64) {
        self.used_bytes = self.used_bytes.saturating_sub(bytes);
        let needed_bytes = self.used_bytes.saturating_sub(self.free_bytes);
        let surplus_bytes = self.reserved_bytes.saturating_sub(needed_bytes);
        if surplus_bytes > 0
            && let Some(link) = &self.link
        {
            link.release(surplus_bytes);
            self.reserved_bytes = needed_bytes;
        }
    }

    /// Returns the bytes that are held.
    pub(crate) const fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    /// Notes that the exchange begins to wait for its caller.
    pub(crate) fn restart_meter(&mut self) {
        self.meter.restart(now());
    }

    /// Notes that the caller has sent or read bytes.
    pub(crate) const fn record_progress(&mut self, bytes: usize) {
        self.meter.record(bytes as u64);
    }

    /// Waits until the exchange must end because its caller has stalled and others wait for its
    /// bytes. May be cancelled and called again.
    pub(crate) async fn reclaimed(&mut self, stall: Stall) {
        loop {
            let check_at = instant_at(self.meter.check_at());
            let Some(requests) = self.link.as_mut().and_then(|link| link.give_way.as_mut()) else {
                return std::future::pending().await;
            };
            tokio::select! {
                Some(()) = requests.recv() => {
                    // The caller may have gone on meanwhile.
                    if self.meter.is_stalled(self.reserved_bytes) {
                        return;
                    }
                }
                () = sleep_until(check_at) => self.check_progress(stall),
            }
        }
    }

    /// Notes that the caller has sent all that was waited for.
    pub(crate) fn end_wait(&mut self) {
        if self.is_reported {
            self.report_stall(None);
        }
    }

    fn check_progress(&mut self, stall: Stall) {
        if !self.meter.check(now(), self.reserved_bytes) {
            return;
        }
        let is_stalled = self.meter.is_stalled(self.reserved_bytes);
        if is_stalled || self.is_reported {
            self.report_stall(is_stalled.then_some(stall));
        }
    }

    fn report_stall(&mut self, stall: Option<Stall>) {
        if let (MemoryClient::Limited(client), Some(link)) = (&self.client, &self.link) {
            let holder = link.id;
            let report = MemoryMessage::Progress { holder, stall };
            // If the task is busy, the report is dropped. The next interval repeats it, and a
            // holder that has not stalled does not give way.
            if client.messages.try_send(report).is_ok() {
                self.is_reported = stall.is_some();
            }
        }
    }
}

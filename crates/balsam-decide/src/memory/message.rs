//! Inputs and outputs of the [`MemoryBudget`](super::MemoryBudget).

/// Identifies an exchange that holds bytes, or waits for them. Never reused within a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(pub u64);

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The body of a request, of which nothing was sent to an upstream.
    Body,
    /// The answer to a request that an upstream has run.
    Answer,
}

/// What a caller does too slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stall {
    /// Sending the body of a request.
    Body,
    /// Reading an answer.
    Answer,
}

/// An input of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryInput {
    /// A holder needs more bytes. It sends no other reservation before this one is answered.
    Reserve {
        /// The holder.
        holder: HolderId,
        /// The bytes, in addition to those that it holds.
        bytes: u64,
        /// What the bytes are for.
        purpose: Purpose,
    },
    /// A holder no longer needs some of its bytes.
    Release {
        /// The holder.
        holder: HolderId,
        /// The number of bytes.
        bytes: u64,
    },
    /// The caller of a holder has stalled, or no longer stalls.
    Progress {
        /// The holder.
        holder: HolderId,
        /// What the caller does too slowly.
        stall: Option<Stall>,
    },
    /// A holder has ended, whether it holds bytes or waits for them.
    End {
        /// The holder.
        holder: HolderId,
    },
    /// The time of [`next_wakeup`](super::MemoryBudget::next_wakeup) has come.
    Tick,
}

/// Reason that bytes were not reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryRefusal {
    /// The bytes are not likely to be free soon.
    Full {
        /// Time after which a retry makes sense, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request needs more than the budget can ever give it.
    TooLarge,
}

/// An output of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryOutput {
    /// The reservation of a holder was made.
    Grant(HolderId),
    /// The reservation of a holder was not made. The holder keeps the bytes that it has.
    Refuse(HolderId, MemoryRefusal),
    /// A stalled holder must end, because others wait for its bytes.
    GiveWay {
        /// The holder.
        holder: HolderId,
        /// What its caller does too slowly.
        stall: Stall,
        /// The bytes that it holds.
        bytes: u64,
    },
}

/// Totals of a budget, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryCounts {
    /// Bytes that are reserved now.
    pub held_bytes: u64,
    /// Reservations that wait now.
    pub waiting: u64,
    /// Reservations that had to wait.
    pub waited: u64,
    /// Reservations that were refused because the bytes were not likely to be free soon.
    pub refused: u64,
    /// Reservations that were refused because they exceed the budget.
    pub too_large: u64,
    /// Holders that were told to give way.
    pub gave_way: u64,
}

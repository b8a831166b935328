//! The sizes of the budget, from the memory of the machine.

/// Bytes of a request body and its answer that an exchange holds without a reservation, so that
/// small requests need no messages to the budget. Only the first exchange in flight of a connection
/// has this allowance.
pub const FREE_BYTES: u64 = 8 << 10;

/// Bytes set aside for each connection of a caller: the allowance, the read buffer and the state of
/// its tasks.
const CONNECTION_BYTES: u64 = 16 << 10;

/// Part of the machine's memory, as a divisor, that is set aside for connections of callers.
const CONNECTIONS_DIVISOR: u64 = 5;

/// Bytes set aside for the program, its tables and the control path.
const PROCESS_BYTES: u64 = 16_000_000;

/// Part of the budget, as a divisor, that small bodies and answers can use and large bodies cannot.
///
/// The rest of the budget of the smallest machine, 120 MB, still takes a body of 64 MiB.
const SMALL_DIVISOR: u64 = 8;

/// Part of the budget, as a divisor, that only answers can use, so that requests that have run can
/// always be answered.
const ANSWER_DIVISOR: u64 = 16;

/// Sizes of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryTerms {
    /// The bytes that all holders may have together.
    pub total_bytes: u64,
}

impl MemoryTerms {
    /// Returns the sizes for a machine with `memory_mb` megabytes.
    pub const fn of_machine(memory_mb: u64) -> Self {
        let memory_bytes = memory_mb * 1_000_000;
        let connections_bytes = memory_bytes / CONNECTIONS_DIVISOR;
        let set_aside = connections_bytes + PROCESS_BYTES;
        Self {
            total_bytes: memory_bytes.saturating_sub(set_aside),
        }
    }

    /// Returns how many connections of callers a machine with `memory_mb` megabytes can have.
    pub const fn connections_max(memory_mb: u64) -> usize {
        (memory_mb * 1_000_000 / CONNECTIONS_DIVISOR / CONNECTION_BYTES) as usize
    }

    /// Returns how many bytes may be held, at most, once a body has been reserved that is large.
    pub(super) const fn large_max_bytes(self) -> u64 {
        self.total_bytes - self.total_bytes / SMALL_DIVISOR
    }

    /// Returns how many bytes may be held, at most, once a body has been reserved that is small.
    pub(super) const fn small_max_bytes(self) -> u64 {
        self.total_bytes - self.total_bytes / ANSWER_DIVISOR
    }
}

//! The task that owns the memory budget, and the reservations of exchanges.

mod held;
mod message;
mod task;

pub(crate) use held::{Held, PendingBytes, Reserving};
pub(crate) use message::MemoryClient;
pub(crate) use task::MemoryTask;

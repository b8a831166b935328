//! The budget for the bytes that a daemon holds for callers and upstreams.
//!
//! See [the design note](../../../../docs/design/memory.md).

mod budget;
mod message;
mod meter;
mod terms;

pub use budget::MemoryBudget;
pub use message::{
    HolderId, MemoryCounts, MemoryInput, MemoryOutput, MemoryRefusal, Purpose, Stall,
};
pub use meter::ProgressMeter;
pub use terms::{FREE_BYTES, MemoryTerms};

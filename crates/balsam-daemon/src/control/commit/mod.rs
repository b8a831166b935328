//! Conditional writes to the platform's table.

mod change;
mod crashes;
mod orders;
mod snapshot;

pub use change::commit_change;
pub use crashes::{SharedCrashes, read_crashes, write_crashes};
pub use orders::{read_orders, write_orders};
pub use snapshot::write_snapshot;

//! The clock for leases and deadlines.

mod boot;

pub use boot::{BootClock, Clock};

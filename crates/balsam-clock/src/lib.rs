//! The clock that leases and deadlines are measured on.

mod boot;

pub use boot::{BootClock, Clock};

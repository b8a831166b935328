//! Reads of the control state from the platform.

mod table;

pub use table::read_table;

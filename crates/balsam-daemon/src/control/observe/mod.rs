//! What the control path learns from the platform.

mod table;

pub use table::read_table;

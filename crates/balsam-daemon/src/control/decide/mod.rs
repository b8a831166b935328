//! The task that owns the node and turns its inputs into messages to the other control tasks.

mod handle;

pub use handle::{ControlHandle, ControlInput};

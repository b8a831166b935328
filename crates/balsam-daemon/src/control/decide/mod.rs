//! The task that owns the node and turns its inputs into messages to the other control tasks.

mod handle;
mod routes;
mod task;
mod waiting;

pub use handle::{ControlHandle, ControlInput};
pub use routes::Routes;
pub use task::{ControlSources, ControlTask};

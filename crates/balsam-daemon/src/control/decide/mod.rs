//! The task that owns the node, feeds it with inputs and sends its outputs to the other control
//! tasks.

mod handle;
mod routes;
mod task;
mod waiting;

pub use handle::{ControlHandle, ControlInput};
pub use routes::OutputChannels;
pub use task::{ControlReceivers, ControlTask};

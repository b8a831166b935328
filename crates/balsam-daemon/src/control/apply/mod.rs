//! Publication of the node's decisions to the rest of the daemon and to the log.

mod decision_line;
mod publish;

pub use decision_line::DecisionLine;
pub use publish::{Publisher, empty_view};

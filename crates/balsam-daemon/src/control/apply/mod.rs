//! What the rest of the daemon sees of the decisions: the published view and the decision log.

mod decision_line;
mod publish;

pub use decision_line::DecisionLine;
pub use publish::{Publisher, empty_view};

//! What the rest of the daemon sees of the decisions: the published view and the decision log.

mod publish;

pub use publish::{Publisher, empty_view};

//! Log lines as JSON, one object a line.

mod decision;
mod format;

pub use decision::{DECISION_TARGET, decision};
pub use format::{InitError, init, render_line};

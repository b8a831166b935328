//! Logging as JSON lines.

mod decision;
mod format;
mod lossy;

pub use decision::{DECISION_TARGET, decision};
pub use format::{InitError, init, render_line};
pub use lossy::{LogGuard, LostLines, init_lossy};

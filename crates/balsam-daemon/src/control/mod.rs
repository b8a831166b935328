//! The control path: from observations to decisions, commits, messages and the published view.
//!
//! See [the design page, section 2.3](../../../../docs/design.md#23-control-path).

pub mod apply;
pub mod commit;
pub mod decide;
pub mod distribute;
pub mod edge;
pub mod observe;

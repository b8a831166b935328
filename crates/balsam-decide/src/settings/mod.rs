//! The settings tree: inheritance, versioned edits and the policies derived from it.
//!
//! See [the design page, section 5.3](../../../../docs/design.md#53-settings).

mod error;
mod policy;
mod tree;

pub use error::SettingsError;
pub use policy::{MemberPolicy, RankPolicy, ServicePolicy};
pub use tree::{ResolvedValue, SettingsNode, SettingsTree};

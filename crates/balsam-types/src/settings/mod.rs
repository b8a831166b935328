//! Types of the settings tree: node paths, keys, values and edits.
//!
//! See [the design page, section 5.3](../../../../docs/design.md#53-settings).

mod edit;
mod key;
mod path;
mod value;

pub use edit::NodeEdit;
pub use key::{SettingKey, Unit};
pub use path::{NodePath, NodePathError};
pub use value::{SettingValue, ValueError};

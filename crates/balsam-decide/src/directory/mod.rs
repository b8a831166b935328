//! Which upstreams exist, as this daemon believes.
//!
//! See [the platform page](../../../../docs/platform.md#upstreams).

mod believed;
mod machine;
mod note;

pub use believed::{Believed, Upstreams};
pub use machine::{Directory, DirectoryInput, LAPSE_GRACE_MS};
pub use note::{DirectoryNote, NoteOutcome};

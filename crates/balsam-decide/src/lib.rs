//! The decision logic of balsamswitch as state machines that do no I/O.
//!
//! Each state machine takes the current time and one input, and returns outputs for its caller to
//! carry out. Time, randomness and addresses are arguments, so that tests can run the same logic
//! without sockets.
//! See [the design page](../../../docs/design.md).

pub mod attempts;
pub mod budget;
pub mod control;
pub mod crashes;
pub mod directory;
pub mod dispatch;
pub mod entry;
pub mod evacuation;
pub mod feed;
pub mod grants;
pub mod hotkeys;
pub mod keys;
pub mod lease;
pub mod membership;
pub mod memory;
pub mod node;
pub mod orders;
pub mod pace;
pub mod peers;
pub mod placement;
pub mod placer;
pub mod pool;
pub mod quarantine;
pub mod retry;
pub mod room;
pub mod routing;
pub mod settings;

//! The decisions of balsamswitch as state machines without I/O.
//!
//! A state machine takes the time and one input and returns outputs. Time, randomness and addresses
//! are arguments, so that tests drive the same decisions without sockets.
//! See [the design page](../../../docs/design.md).

pub mod attempts;
pub mod budget;
pub mod control;
pub mod crashes;
pub mod directory;
pub mod dispatch;
pub mod entry;
pub mod feed;
pub mod grants;
pub mod hotkeys;
pub mod keys;
pub mod lease;
pub mod membership;
pub mod node;
pub mod orders;
pub mod peers;
pub mod placement;
pub mod placer;
pub mod pool;
pub mod quarantine;
pub mod retry;
pub mod routing;
pub mod settings;

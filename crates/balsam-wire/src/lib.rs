//! The encodings of messages between processes.
//!
//! Wire types are separate from the types that decisions use, so that an encoding can change
//! without touching a decision. See [the design page](../../../docs/design.md#9-interfaces).

pub mod peer;

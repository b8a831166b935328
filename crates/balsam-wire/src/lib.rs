//! Wire types and codecs, kept separate from the decision logic that uses them.
//!
//! See [the design page, section 9](../../../docs/design.md#9-interfaces).

pub mod operator;
pub mod peer;
pub mod platform;
pub mod upstream;

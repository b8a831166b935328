//! The daemon: tasks and filters around the decisions of `balsam-decide`.
//!
//! See [the design page, section 2](../../../docs/design.md#2-shape-of-the-code).

pub mod config;

//! Connects the filters that a request passes through on its entry daemon, which is the daemon that
//! the caller connected to.
//!
//! See [the design page, section 2.2](../../../../../docs/design.md#22-request-path).

mod attempts;
mod body;
mod order;
mod serve;

pub(crate) use serve::{EntryContext, serve};

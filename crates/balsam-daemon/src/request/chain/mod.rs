//! The chain of filters that a request passes through at its entry daemon.
//!
//! See [the design page, section 2.2](../../../../../docs/design.md#22-request-path).

mod attempts;
mod body;
mod order;
mod serve;

pub(crate) use serve::{Entry, serve};

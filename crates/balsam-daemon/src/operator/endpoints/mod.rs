//! The endpoints, which turn typed requests into typed responses and are independent of their
//! encoding.

mod metrics;
mod placement;
mod quarantine;
mod roster;
mod settings;

pub(super) use metrics::metrics;
pub(super) use placement::{drain, owner, upstreams};
pub(super) use quarantine::{clear_quarantine, quarantine};
pub(super) use roster::{daemons, epochs, forget};
pub(super) use settings::{edit, explain, settings};

//! The request path, a chain of filters: accept, read, route, take an upstream, forward, answer,
//! record.

mod accept;
mod connection;
mod forward;
mod names;
mod read;
mod record;
mod reply;
mod route;
mod serve;

pub use names::HeaderNames;

pub(crate) use accept::{Phase, run_listener};
pub(crate) use record::Recorder;
pub(crate) use serve::RequestContext;

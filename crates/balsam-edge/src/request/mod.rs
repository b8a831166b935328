//! The request path, a pipeline of filters: accept, read, wait for current tables, route, acquire a
//! lease on an upstream, forward, respond, record.

mod accept;
mod connection;
mod forward;
mod freshness;
mod names;
mod read;
mod record;
mod reply;
mod route;
mod serve;

pub use names::{HeaderNames, NoticeReader, ReadNotice};

pub(crate) use accept::{Phase, run_listener};
pub(crate) use freshness::FreshnessGate;
pub(crate) use record::Recorder;
pub(crate) use serve::RequestContext;

//! The entry daemon: tasks and filters between callers and upstreams on a platform.
//!
//! The platform's own names, formats and calls are met by an adapter that speaks the messages of
//! [`store`], [`order`] and [`request`]; nothing here knows them.
//! See [the platform page](../../../docs/platform.md).

pub mod http;
pub mod order;
pub mod request;
pub mod settings;
pub mod store;

mod assembly;
mod clock;
mod control;
mod metrics;
mod operator;
mod peer;
mod pool;
mod probe;
mod view;

pub use assembly::{Adapter, Addresses, Edge, PlatformChannels, StartError};
pub use view::View;

//! The entry daemon: a reverse proxy, built from tasks and filters, between callers and the
//! upstreams of a platform.
//!
//! The names, formats and calls of a platform are the concern of an adapter, which exchanges the
//! messages of [`store`], [`order`] and [`request`] with this crate. See [the platform
//! page](../../../docs/platform.md).

pub mod http;
pub mod order;
pub mod request;
pub mod settings;
pub mod store;

mod assembly;
mod clock;
mod control;
mod memory;
mod metrics;
mod operator;
mod peer;
mod pool;
mod probe;
mod room;
mod view;

pub use assembly::{Adapter, Addresses, Edge, PlatformChannels, StartError};
pub use peer::{Snapshot, decode_snapshot, encode_snapshot};
pub use view::View;

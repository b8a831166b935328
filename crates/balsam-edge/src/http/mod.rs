//! Client connections over HTTP/1.1: to upstreams, to their order interface and to the store.

mod connection;
mod error;
mod socket;

pub use connection::{Connection, Response, Sent};
pub use error::ExchangeError;
pub(crate) use socket::limit_buffers;

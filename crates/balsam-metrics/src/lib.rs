//! The registry of a daemon's instruments and its Prometheus text.

mod error;
mod registry;

pub use error::MetricsError;
pub use registry::{MetricsText, start};

//! The daemon's instruments and their Prometheus text.

mod error;
mod instruments;
mod registry;

pub use error::MetricsError;
pub use instruments::Metrics;
pub use registry::{MetricsText, start};

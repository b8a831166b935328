//! The metrics registry of a daemon and its export in the Prometheus text format.

mod error;
mod registry;

pub use error::MetricsError;
pub use registry::{MetricsText, start};

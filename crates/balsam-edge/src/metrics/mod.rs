//! The instruments of the daemon's metrics.

mod instruments;

pub(crate) use instruments::EdgeMetrics;

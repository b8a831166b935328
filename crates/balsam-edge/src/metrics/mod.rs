//! The daemon's instruments.

mod instruments;

pub(crate) use instruments::EdgeMetrics;

//! The metrics.

/// Returns the metrics in Prometheus text.
pub(crate) fn metrics() -> String {
    String::new()
}

//! The metrics of the daemon.

mod instruments;

pub use balsam_metrics::{MetricsError, MetricsText};
pub use instruments::Metrics;

/// Creates the instruments and the exporter that renders them as text.
///
/// # Errors
///
/// Returns a [`MetricsError`] if the exporter cannot be set up.
pub fn start() -> Result<(Metrics, MetricsText), MetricsError> {
    let (meter, text) = balsam_metrics::start()?;
    Ok((Metrics::new(&meter), text))
}

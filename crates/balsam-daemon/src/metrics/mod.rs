//! The daemon's instruments.

mod instruments;

pub use balsam_metrics::{MetricsError, MetricsText};
pub use instruments::Metrics;

/// Makes the instruments and the registry that exports them.
///
/// # Errors
///
/// Returns a [`MetricsError`] if the exporter cannot be set up.
pub fn start() -> Result<(Metrics, MetricsText), MetricsError> {
    let (meter, text) = balsam_metrics::start()?;
    Ok((Metrics::new(&meter), text))
}

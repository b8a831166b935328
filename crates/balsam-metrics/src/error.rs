//! Failures of the metrics.

use snafu::Snafu;

/// Why metrics cannot be exported.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum MetricsError {
    /// The exporter cannot be set up.
    #[snafu(display("metrics exporter: {source}"))]
    Exporter {
        /// What is wrong.
        source: opentelemetry_sdk::error::OTelSdkError,
    },
    /// The metrics cannot be written as text.
    #[snafu(display("metrics text: {source}"))]
    Text {
        /// What is wrong.
        source: prometheus::Error,
    },
}

//! Errors of metrics export.

use snafu::Snafu;

/// An error that occurs while exporting metrics.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum MetricsError {
    /// The exporter could not be created.
    #[snafu(display("metrics exporter: {source}"))]
    Exporter {
        /// The underlying error.
        source: opentelemetry_sdk::error::OTelSdkError,
    },
    /// The metrics could not be rendered as text.
    #[snafu(display("metrics text: {source}"))]
    Text {
        /// The underlying error.
        source: prometheus::Error,
    },
}

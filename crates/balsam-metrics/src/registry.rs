//! The registry that a daemon's listener reads.

use super::MetricsError;
use super::error::{ExporterSnafu, TextSnafu};
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use snafu::ResultExt;

/// Renders the metrics; cheap to clone.
#[derive(Clone, Debug)]
pub struct MetricsText {
    registry: Registry,
    // The provider must live as long as its instruments are exported.
    _provider: SdkMeterProvider,
}

/// Makes a meter for instruments and the registry that exports them.
///
/// # Errors
///
/// Returns a [`MetricsError`] if the exporter cannot be set up.
pub fn start() -> Result<(Meter, MetricsText), MetricsError> {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .build()
        .context(ExporterSnafu)?;
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    let meter = provider.meter("balsamswitch");
    let text = MetricsText {
        registry,
        _provider: provider,
    };
    Ok((meter, text))
}

impl MetricsText {
    /// Renders all metrics as Prometheus text.
    ///
    /// # Errors
    ///
    /// Returns a [`MetricsError`] if a metric has no text form.
    pub fn render(&self) -> Result<String, MetricsError> {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .context(TextSnafu)
    }
}

//! The metrics registry, which the metrics listener of a daemon renders.

use super::MetricsError;
use super::error::{ExporterSnafu, TextSnafu};
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use snafu::ResultExt;

/// A handle that renders all metrics; cheap to clone.
#[derive(Clone, Debug)]
pub struct MetricsText {
    registry: Registry,
    // Dropping the provider would end the export of its instruments.
    _provider: SdkMeterProvider,
}

/// Creates a meter for instruments and a handle that renders their values.
///
/// # Errors
///
/// Returns a [`MetricsError`] if the exporter cannot be created.
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
    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns a [`MetricsError`] if a metric cannot be represented as text.
    pub fn render(&self) -> Result<String, MetricsError> {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .context(TextSnafu)
    }
}

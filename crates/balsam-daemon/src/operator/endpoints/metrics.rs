//! The endpoint for metrics.

use crate::operator::OperatorContext;
use balsam_wire::operator::{ErrorCode, ErrorResponse};

/// Returns the metrics in the Prometheus text format.
pub(crate) fn metrics<C>(context: &OperatorContext<C>) -> Result<String, ErrorResponse> {
    context.metrics.render().map_err(|error| {
        let help = "read the metrics again; report the fault if it remains";
        ErrorResponse::new(ErrorCode::Busy, error.to_string(), help)
    })
}

//! The endpoints for the owners of keys and for upstreams.

use crate::operator::OperatorContext;
use crate::operator::query::Query;
use balsam_decide::node::{OperatorCommand, View};
use balsam_types::{KeyHash, ServiceName, UpstreamName};
use balsam_wire::operator::{
    CommandResponse, DrainRequest, ErrorCode, ErrorResponse, OwnerResponse, UpstreamsResponse,
};

/// Finds the owner of a key.
pub(crate) fn owner(view: &View, mut query: Query) -> Result<OwnerResponse, ErrorResponse> {
    let service = query.require("service", "the name of a service")?;
    let key = query.require("key", "the key's text")?;
    query.expect_empty()?;
    let service = ServiceName::new(&service)
        .map_err(|error| ErrorResponse::bad_field("service", service, error.to_string()))?;
    let located = view.locate(&service, KeyHash::of(&key));
    let epoch = view.state.epoch;
    OwnerResponse::new(epoch, service.clone(), key, located).ok_or_else(|| {
        ErrorResponse::new(
            ErrorCode::NotFound,
            format!("service {service}: not known"),
            "list the services and check the spelling",
        )
        .with_field(
            "service",
            service.as_str(),
            "the name of an existing service",
        )
    })
}

/// Lists the upstreams.
pub(crate) fn upstreams(view: &View) -> UpstreamsResponse {
    UpstreamsResponse::new(view)
}

/// Drains an upstream, or cancels its drain.
pub(crate) async fn drain<C>(
    context: &OperatorContext<C>,
    upstream: UpstreamName,
    body: DrainRequest,
) -> Result<CommandResponse, ErrorResponse> {
    let drain = body.drain;
    context
        .command(OperatorCommand::Drain { upstream, drain })
        .await
}

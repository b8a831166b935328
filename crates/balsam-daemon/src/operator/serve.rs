//! Handling of one request: checks the credential, routes the request, runs its endpoint and builds
//! the response.

use super::body::read_json;
use super::query::Query;
use super::route::Endpoint;
use super::{OperatorContext, answer, endpoints};
use crate::control::edge::Clock;
use actix_http::body::BoxBody;
use actix_http::header::AUTHORIZATION;
use actix_http::{HttpMessage, Request, Response};
use balsam_wire::operator::{ErrorCode, ErrorResponse};

/// Handles one request and returns its response.
pub(super) async fn serve_request<C: Clock>(
    context: OperatorContext<C>,
    mut request: Request,
) -> Response<BoxBody> {
    match try_serve(&context, &mut request).await {
        Ok(response) => response,
        Err(error) => {
            log::info!("operator request refused: {}", error.message);
            answer::refusal(&error)
        }
    }
}

async fn try_serve<C: Clock>(
    context: &OperatorContext<C>,
    request: &mut Request,
) -> Result<Response<BoxBody>, ErrorResponse> {
    check_credential(context, request)?;
    let endpoint = Endpoint::find(request.method(), request.uri().path())?;
    let query = Query::parse(request.uri().query())?;
    if !endpoint.takes_query() {
        query.expect_empty()?;
    }
    let view = context.control.view();
    Ok(match endpoint {
        Endpoint::Explain => answer::ok_json(&endpoints::explain(&view, query)?),
        Endpoint::Settings => answer::ok_json(&endpoints::settings(&view)),
        Endpoint::Owner => answer::ok_json(&endpoints::owner(&view, query)?),
        Endpoint::Daemons => answer::ok_json(&endpoints::daemons(&view)),
        Endpoint::Upstreams => answer::ok_json(&endpoints::upstreams(&view)),
        Endpoint::Quarantine => answer::ok_json(&endpoints::quarantine(&view)),
        Endpoint::Epochs => answer::ok_json(&endpoints::epochs(&view, context.clock.now())),
        Endpoint::Metrics => answer::metrics(endpoints::metrics(context)?),
        Endpoint::Edit => {
            let body = read_json(request).await?;
            answer::command(&endpoints::edit(context, body).await?)
        }
        Endpoint::Drain(upstream) => {
            let body = read_json(request).await?;
            answer::command(&endpoints::drain(context, upstream, body).await?)
        }
        Endpoint::Forget => {
            let body = read_json(request).await?;
            answer::command(&endpoints::forget(context, body).await?)
        }
        Endpoint::ClearQuarantine => {
            answer::command(&endpoints::clear_quarantine(context, query).await?)
        }
    })
}

fn check_credential<C>(
    context: &OperatorContext<C>,
    request: &Request,
) -> Result<(), ErrorResponse> {
    let header = request.headers().get(AUTHORIZATION);
    let presented = header.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    if presented.is_some_and(|presented| context.credential.matches(presented)) {
        return Ok(());
    }
    Err(ErrorResponse::new(
        ErrorCode::BadCredential,
        "the bearer credential is missing or wrong",
        "send the operator credential of the daemon's settings file",
    ))
}

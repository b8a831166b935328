//! Routing of requests to endpoints by method and path.

use super::query::decode;
use actix_http::Method;
use balsam_types::UpstreamName;
use balsam_wire::operator::{
    DAEMONS_PATH, DRAIN_SUFFIX, EDIT_PATH, EPOCHS_PATH, EXPLAIN_PATH, ErrorCode, ErrorResponse,
    FORGET_PATH, METRICS_PATH, OWNER_PATH, QUARANTINE_PATH, SETTINGS_PATH, UPSTREAMS_PATH,
};

/// An endpoint of the operator interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Endpoint {
    /// Explains the settings in effect at a settings node.
    Explain,
    /// Lists the nodes of the settings tree.
    Settings,
    /// Edits nodes of the settings tree.
    Edit,
    /// Finds the owner of a key.
    Owner,
    /// Lists the daemons of the roster.
    Daemons,
    /// Lists the upstreams.
    Upstreams,
    /// Drains an upstream, or cancels its drain.
    Drain(UpstreamName),
    /// Lists quarantined requests.
    Quarantine,
    /// Removes a request from the quarantine, so that it is accepted again.
    ClearQuarantine,
    /// Removes a daemon that has failed from the roster.
    Forget,
    /// Lists the epochs that the daemons have adopted.
    Epochs,
    /// Returns the metrics.
    Metrics,
}

impl Endpoint {
    /// Returns the endpoint for a method and path.
    pub(super) fn find(method: &Method, path: &str) -> Result<Self, ErrorResponse> {
        let get = |endpoint| match_method(method, &[(Method::GET, endpoint)]);
        let post = |endpoint| match_method(method, &[(Method::POST, endpoint)]);
        match path {
            EXPLAIN_PATH => get(Self::Explain),
            SETTINGS_PATH => get(Self::Settings),
            EDIT_PATH => post(Self::Edit),
            OWNER_PATH => get(Self::Owner),
            DAEMONS_PATH => get(Self::Daemons),
            UPSTREAMS_PATH => get(Self::Upstreams),
            FORGET_PATH => post(Self::Forget),
            EPOCHS_PATH => get(Self::Epochs),
            METRICS_PATH => get(Self::Metrics),
            QUARANTINE_PATH => match_method(
                method,
                &[
                    (Method::GET, Self::Quarantine),
                    (Method::DELETE, Self::ClearQuarantine),
                ],
            ),
            _ => post(Self::Drain(parse_drain_path(path)?)),
        }
    }

    /// Returns whether the endpoint accepts query fields.
    pub(super) const fn takes_query(&self) -> bool {
        matches!(self, Self::Explain | Self::Owner | Self::ClearQuarantine)
    }
}

fn match_method(
    method: &Method,
    accepted: &[(Method, Endpoint)],
) -> Result<Endpoint, ErrorResponse> {
    let found = accepted
        .iter()
        .find(|(allowed_method, _)| allowed_method == method);
    found.map(|(_, endpoint)| endpoint.clone()).ok_or_else(|| {
        let accepted: Vec<_> = accepted
            .iter()
            .map(|(allowed_method, _)| allowed_method.as_str())
            .collect();
        ErrorResponse::bad_field("method", method.as_str(), accepted.join(", "))
    })
}

fn parse_drain_path(path: &str) -> Result<UpstreamName, ErrorResponse> {
    let name = path
        .strip_prefix(UPSTREAMS_PATH)
        .and_then(|rest| rest.strip_prefix('/'))
        .and_then(|rest| rest.strip_suffix(DRAIN_SUFFIX));
    let Some(name) = name else {
        let help = "see the list of paths on the operators' page";
        return Err(ErrorResponse::new(
            ErrorCode::NotFound,
            format!("path {path}: not known"),
            help,
        ));
    };
    let name = decode(name)?;
    UpstreamName::new(&name)
        .map_err(|error| ErrorResponse::bad_field("upstream", name, error.to_string()))
}

//! From method and path to the endpoint.

use super::query::decode;
use actix_http::Method;
use balsam_types::UpstreamName;
use balsam_wire::operator::{
    DAEMONS_PATH, DRAIN_SUFFIX, EDIT_PATH, EPOCHS_PATH, EXPLAIN_PATH, ErrorCode, ErrorResponse,
    FORGET_PATH, METRICS_PATH, OWNER_PATH, QUARANTINE_PATH, SETTINGS_PATH, UPSTREAMS_PATH,
};

/// An endpoint of the operator listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Endpoint {
    /// Explains the values in effect at a node.
    Explain,
    /// Lists the settings tree.
    Settings,
    /// Edits the settings tree.
    Edit,
    /// Finds the owner of a key.
    Owner,
    /// Lists the roster.
    Daemons,
    /// Lists the upstreams.
    Upstreams,
    /// Drains an upstream, or takes the drain back.
    Drain(UpstreamName),
    /// Lists quarantined requests.
    Quarantine,
    /// Accepts a quarantined request again.
    ClearQuarantine,
    /// Removes a dead daemon from the roster.
    Forget,
    /// Lists the adopted epochs.
    Epochs,
    /// Gives the metrics.
    Metrics,
}

impl Endpoint {
    /// Finds the endpoint of a request.
    pub(super) fn find(method: &Method, path: &str) -> Result<Self, ErrorResponse> {
        let get = |endpoint| need(method, &[(Method::GET, endpoint)]);
        let post = |endpoint| need(method, &[(Method::POST, endpoint)]);
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
            QUARANTINE_PATH => need(
                method,
                &[
                    (Method::GET, Self::Quarantine),
                    (Method::DELETE, Self::ClearQuarantine),
                ],
            ),
            _ => post(Self::Drain(drained_upstream(path)?)),
        }
    }

    /// Returns whether the endpoint has query fields.
    pub(super) const fn takes_query(&self) -> bool {
        matches!(self, Self::Explain | Self::Owner | Self::ClearQuarantine)
    }
}

fn need(method: &Method, accepted: &[(Method, Endpoint)]) -> Result<Endpoint, ErrorResponse> {
    let found = accepted.iter().find(|(wanted, _)| wanted == method);
    found.map(|(_, endpoint)| endpoint.clone()).ok_or_else(|| {
        let accepted: Vec<_> = accepted.iter().map(|(wanted, _)| wanted.as_str()).collect();
        ErrorResponse::bad_field("method", method.as_str(), accepted.join(", "))
    })
}

fn drained_upstream(path: &str) -> Result<UpstreamName, ErrorResponse> {
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

//! The control interface of upstreams that the control tasks use.

use balsam_decide::grants::{Grant, GrantReply, Revoke, RevokeReply};
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;

/// Why an exchange with an upstream failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum UpstreamControlError {
    /// No response arrived within the time limit.
    #[snafu(display("upstream {address}: no answer within {wait_ms} ms"))]
    Timeout {
        /// The upstream's address.
        address: SocketAddr,
        /// The time limit, in milliseconds.
        wait_ms: u128,
    },
    /// The exchange failed.
    #[snafu(display("upstream {address}: {source}"))]
    Transport {
        /// The upstream's address.
        address: SocketAddr,
        /// Why it failed.
        source: ExchangeError,
    },
}

/// Why an exchange with an upstream failed before its time limit.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ExchangeError {
    /// The request cannot be sent, or the connection ended without a response.
    #[snafu(display("{source}"))]
    Send {
        /// The error of the HTTP client.
        source: awc::error::SendRequestError,
    },
    /// The upstream responded with a status other than success.
    #[snafu(display("status {status}"))]
    Status {
        /// The HTTP status code.
        status: u16,
    },
    /// The response body is truncated or too large.
    #[snafu(display("{source}"))]
    Body {
        /// The error of the HTTP client.
        source: awc::error::PayloadError,
    },
    /// The response body is not the expected JSON.
    #[snafu(display("{source}"))]
    Json {
        /// The JSON error.
        source: serde_json::Error,
    },
}

/// Sends grants and revocations to upstreams.
///
/// Every call ends within `time_limit`.
pub trait UpstreamControl: Clone {
    /// Sends a grant.
    fn grant(
        &self,
        address: SocketAddr,
        grant: Grant,
        time_limit: Duration,
    ) -> impl Future<Output = Result<GrantReply, UpstreamControlError>>;

    /// Sends a revocation.
    fn revoke(
        &self,
        address: SocketAddr,
        revoke: Revoke,
        time_limit: Duration,
    ) -> impl Future<Output = Result<RevokeReply, UpstreamControlError>>;
}

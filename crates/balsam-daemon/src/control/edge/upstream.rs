//! The upstreams' control interface as the control tasks see it.

use balsam_decide::grants::{Grant, GrantReply, Revoke, RevokeReply};
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;

/// Why an exchange with an upstream failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum UpstreamControlError {
    /// There was no answer in time.
    #[snafu(display("upstream {address}: no answer within {wait_ms} ms"))]
    Silent {
        /// The upstream's address.
        address: SocketAddr,
        /// The time that was waited, in milliseconds.
        wait_ms: u128,
    },
    /// The exchange broke.
    #[snafu(display("upstream {address}: {source}"))]
    Broken {
        /// The upstream's address.
        address: SocketAddr,
        /// How it broke.
        source: ExchangeError,
    },
}

/// How an exchange with an upstream broke.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ExchangeError {
    /// The request cannot be sent, or no response came.
    #[snafu(display("{source}"))]
    Send {
        /// Why.
        source: awc::error::SendRequestError,
    },
    /// The upstream refused the request.
    #[snafu(display("status {status}"))]
    Status {
        /// The HTTP status code.
        status: u16,
    },
    /// The response body broke off or is too large.
    #[snafu(display("{source}"))]
    Body {
        /// Why.
        source: awc::error::PayloadError,
    },
    /// The response body is not what the path answers.
    #[snafu(display("{source}"))]
    Json {
        /// Why.
        source: serde_json::Error,
    },
}

/// Grants and revocations.
///
/// Every call ends within `wait`.
pub trait UpstreamControl: Clone {
    /// Sends a grant.
    fn grant(
        &self,
        address: SocketAddr,
        grant: Grant,
        wait: Duration,
    ) -> impl Future<Output = Result<GrantReply, UpstreamControlError>>;

    /// Sends a revocation.
    fn revoke(
        &self,
        address: SocketAddr,
        revoke: Revoke,
        wait: Duration,
    ) -> impl Future<Output = Result<RevokeReply, UpstreamControlError>>;
}

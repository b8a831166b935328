//! The task that sends grants and revocations to upstreams.

use super::exchanges::run_exchanges;
use crate::control::decide::ControlInput;
use crate::control::edge::{Clock, UpstreamControl};
use balsam_decide::grants::{Grant, Revoke};
use balsam_decide::node::NodeInput;
use balsam_types::timing::SUSPECT_AFTER_MS;
use balsam_types::{TimeMs, UpstreamName};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

/// The largest number of concurrent exchanges with all upstreams together.
const MAX_EXCHANGES: usize = 256;

/// The time limit of an exchange.
///
/// Two failed exchanges in a row fit into the time after which an upstream that does not reply
/// counts as lost.
const REPLY_TIMEOUT: Duration = Duration::from_millis(SUSPECT_AFTER_MS / 2);

/// A request from the control task to an upstream.
#[derive(Debug)]
pub enum UpstreamExchange {
    /// Sends a grant.
    Grant {
        /// The upstream.
        upstream: UpstreamName,
        /// Its address.
        address: SocketAddr,
        /// The expiry of the lease under which the grant is sent.
        lease_until: TimeMs,
        /// The grant.
        grant: Box<Grant>,
    },
    /// Sends a revocation.
    Revoke {
        /// The upstream.
        upstream: UpstreamName,
        /// Its address.
        address: SocketAddr,
        /// The revocation.
        revoke: Revoke,
    },
}

/// Runs a limited number of exchanges with upstreams concurrently.
#[derive(Debug)]
pub struct UpstreamsTask<U, C> {
    upstreams: U,
    clock: C,
    exchanges: mpsc::Receiver<UpstreamExchange>,
    inputs: mpsc::Sender<ControlInput>,
}

impl<U: UpstreamControl, C: Clock + Clone> UpstreamsTask<U, C> {
    /// Creates the task, which sends the replies to `inputs`.
    pub const fn new(
        upstreams: U,
        clock: C,
        exchanges: mpsc::Receiver<UpstreamExchange>,
        inputs: mpsc::Sender<ControlInput>,
    ) -> Self {
        Self {
            upstreams,
            clock,
            exchanges,
            inputs,
        }
    }

    /// Runs until all request senders are dropped and the running exchanges have ended.
    pub async fn run(self) {
        let start_exchange =
            |exchange| exchange_with_upstream(self.upstreams.clone(), self.clock.clone(), exchange);
        run_exchanges(self.exchanges, self.inputs, MAX_EXCHANGES, start_exchange).await;
    }
}

async fn exchange_with_upstream<U: UpstreamControl, C: Clock>(
    upstreams: U,
    clock: C,
    exchange: UpstreamExchange,
) -> Option<NodeInput> {
    match exchange {
        UpstreamExchange::Grant {
            upstream,
            address,
            lease_until,
            grant,
        } => {
            let sent_at = clock.now();
            // A grant without an incarnation only asks for the upstream's clock; it grants nothing
            // and needs no lease.
            if grant.incarnation.is_some() && sent_at >= lease_until {
                return None;
            }
            let reply = upstreams
                .grant(address, (*grant).clone(), REPLY_TIMEOUT)
                .await;
            Some(NodeInput::GrantReply {
                upstream,
                sent_at,
                lease_until,
                grant,
                reply: log_failure(reply),
            })
        }
        UpstreamExchange::Revoke {
            upstream,
            address,
            revoke,
        } => {
            let (epoch, units) = (revoke.epoch, revoke.units.iter().copied().collect());
            let reply = upstreams.revoke(address, revoke, REPLY_TIMEOUT).await;
            Some(NodeInput::RevokeReply {
                upstream,
                epoch,
                units,
                reply: log_failure(reply),
            })
        }
    }
}

fn log_failure<T, E: std::fmt::Display>(result: Result<T, E>) -> Option<T> {
    result.inspect_err(|error| log::debug!("{error}")).ok()
}

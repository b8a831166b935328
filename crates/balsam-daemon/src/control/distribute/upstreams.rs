//! The task that sends grants and revocations.

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

/// Exchanges at once over all upstreams.
const EXCHANGES: usize = 256;

/// The wait for an answer; two failed exchanges in a row fit into the time after which a silent
/// upstream counts as lost.
const ANSWER_WAIT: Duration = Duration::from_millis(SUSPECT_AFTER_MS / 2);

/// A request of the control task to an upstream.
#[derive(Debug)]
pub enum UpstreamExchange {
    /// Sends a grant.
    Grant {
        /// The upstream.
        upstream: UpstreamName,
        /// Its address.
        address: SocketAddr,
        /// The end of the right that the grant is sent under.
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

/// Runs a bounded number of exchanges with upstreams at once.
#[derive(Debug)]
pub struct UpstreamsTask<U, C> {
    upstreams: U,
    clock: C,
    exchanges: mpsc::Receiver<UpstreamExchange>,
    inputs: mpsc::Sender<ControlInput>,
}

impl<U: UpstreamControl, C: Clock + Clone> UpstreamsTask<U, C> {
    /// Makes the task; answers go to `inputs`.
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

    /// Runs until all senders of requests are gone.
    pub async fn run(self) {
        let begin =
            |exchange| exchange_with_upstream(self.upstreams.clone(), self.clock.clone(), exchange);
        run_exchanges(self.exchanges, self.inputs, EXCHANGES, begin).await;
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
            // A question for the upstream's clock grants nothing and needs no right.
            if grant.incarnation.is_some() && sent_at >= lease_until {
                return None;
            }
            let reply = upstreams
                .grant(address, (*grant).clone(), ANSWER_WAIT)
                .await;
            Some(NodeInput::GrantReply {
                upstream,
                sent_at,
                lease_until,
                grant,
                reply: logged(reply),
            })
        }
        UpstreamExchange::Revoke {
            upstream,
            address,
            revoke,
        } => {
            let (epoch, units) = (revoke.epoch, revoke.units.iter().copied().collect());
            let reply = upstreams.revoke(address, revoke, ANSWER_WAIT).await;
            Some(NodeInput::RevokeReply {
                upstream,
                epoch,
                units,
                reply: logged(reply),
            })
        }
    }
}

fn logged<T, E: std::fmt::Display>(result: Result<T, E>) -> Option<T> {
    result.inspect_err(|error| log::debug!("{error}")).ok()
}

//! What the control task is told.

use crate::peer::PeerMessage;
use crate::store::{Page, StoreError};
use balsam_decide::crashes::TrackerInput;
use balsam_decide::feed::FeedTable;
use balsam_decide::keys::{CommitResult, LoadReport, OrderId, OrderResult, RowVersion};
use balsam_types::{ServiceName, ShardKey, TimeMs};
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// News of a table.
#[derive(Debug)]
pub(crate) enum Followed {
    /// The whole table.
    Listed(Page),
    /// What has changed since.
    Changed(Page),
    /// A call failed.
    Failed(StoreError),
}

/// A message to the control task.
#[derive(Debug)]
pub(crate) enum ControlInput {
    /// News of a table.
    Store(FeedTable, Followed),
    /// A commit has ended.
    Committed(CommitResult),
    /// The row of the leader was read.
    Confirmed {
        asked_at: TimeMs,
        version: Option<RowVersion>,
    },
    /// The own rows were read.
    Reloaded(Result<Page, StoreError>),
    /// An order has ended.
    Ordered { id: OrderId, result: OrderResult },
    /// Another daemon has sent a message.
    Peer {
        from: SocketAddr,
        message: PeerMessage,
    },
    /// This daemon has sent requests on keys.
    Sampled {
        service: ServiceName,
        report: LoadReport,
    },
    /// The daemon is about to stop; it is told when it is not the leader any more.
    StepDown(oneshot::Sender<()>),
    /// The daemon stops now.
    Stop,
    /// News of requests that crash upstreams.
    Watch(TrackerInput),
    /// An upstream does not hold a key that it should.
    NotHeld { service: ServiceName, key: ShardKey },
}

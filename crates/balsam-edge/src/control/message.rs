//! Messages to the control task.

use crate::peer::PeerMessage;
use crate::store::{Page, StoreError};
use balsam_decide::crashes::TrackerInput;
use balsam_decide::feed::{FeedTable, StoreTimeMs};
use balsam_decide::keys::{CommitResult, LoadReport, OrderId, OrderResult, RowVersion};
use balsam_types::{ServiceName, ShardKey, TimeMs};
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// Result of a call that follows a table of the store.
#[derive(Debug)]
pub(crate) enum TableUpdate {
    /// The whole table.
    Listed(Page),
    /// The changes since the previous result.
    Changed(Page),
    /// The store cannot return the changes, so that the whole table is read next.
    ChangesLost(StoreError),
    /// The call failed.
    Failed(StoreError),
}

/// A message to the control task.
#[derive(Debug)]
pub(crate) enum ControlInput {
    /// A table of the store was read, or a call for it failed.
    Store {
        table: FeedTable,
        /// When the call was sent.
        asked_at: TimeMs,
        update: TableUpdate,
    },
    /// A write of assignments or of the leader row has ended.
    Committed(CommitResult),
    /// The leader row was read; `read` is `None` if the call failed.
    Confirmed {
        asked_at: TimeMs,
        read: Option<(RowVersion, StoreTimeMs)>,
    },
    /// The table of the daemons' cluster rows was read.
    Reloaded {
        asked_at: TimeMs,
        read: Result<Page, StoreError>,
    },
    /// An order to an upstream has ended.
    Ordered { id: OrderId, result: OrderResult },
    /// Another daemon has sent a message.
    Peer {
        from: SocketAddr,
        message: PeerMessage,
    },
    /// Load that this daemon has measured on the keys of a service.
    Sampled {
        service: ServiceName,
        report: LoadReport,
    },
    /// The daemon is about to stop and should hand over leadership. The channel is notified once
    /// this daemon is not the leader.
    StepDown(oneshot::Sender<()>),
    /// The daemon stops now.
    Stop,
    /// An observation about requests that crash upstreams.
    Watch(TrackerInput),
    /// An upstream has refused a request because it does not hold the grant for its key.
    NotHeld { service: ServiceName, key: ShardKey },
}

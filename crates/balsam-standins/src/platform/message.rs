//! Messages to the platform's state.

use balsam_wire::platform::{
    InstanceBody, InstancesUpdate, PlatformCounters, PlatformFaults, ReadRequest, ReadResponse,
    TxRequest, TxResponse,
};
use bytes::Bytes;
use std::sync::Arc;

/// A request as the state sees it.
#[derive(Clone, Debug)]
pub enum PlatformRequest {
    /// A conditional transaction.
    Transact(TxRequest),
    /// A table read.
    Read(ReadRequest),
    /// Stores an object.
    PutObject {
        /// The object's name.
        name: Arc<str>,
        /// The object's content.
        bytes: Bytes,
    },
    /// Reads an object.
    GetObject {
        /// The object's name.
        name: Arc<str>,
    },
    /// Reads the instance list.
    Instances,
    /// Changes the instance list.
    ChangeInstances(InstancesUpdate),
    /// Reads the fault switches.
    Faults,
    /// Sets the fault switches.
    SetFaults(PlatformFaults),
    /// Reads the counters.
    Counters,
}

impl PlatformRequest {
    /// Returns whether the request belongs to the tests' own switches, which have no faults.
    pub const fn is_switch(&self) -> bool {
        matches!(
            self,
            Self::ChangeInstances(_) | Self::Faults | Self::SetFaults(_) | Self::Counters
        )
    }
}

/// The state's reply.
#[derive(Clone, Debug)]
pub enum PlatformReply {
    /// A transaction ended.
    Tx(TxResponse),
    /// A transaction took effect, and its answer must be lost.
    LostAnswer,
    /// The rows of a read.
    Rows(ReadResponse),
    /// An object is stored, or a switch is set.
    Done,
    /// An object, if it exists.
    Object(Option<Bytes>),
    /// The visible instance list.
    Instances(Vec<InstanceBody>),
    /// The fault switches.
    Faults(PlatformFaults),
    /// The counters.
    Counters(PlatformCounters),
}

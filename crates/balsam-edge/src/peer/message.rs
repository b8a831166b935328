//! Messages between daemons and their encoding.

use balsam_decide::crashes::TrackerMessage;
use balsam_decide::feed::{FeedState, FeedTable};
use balsam_decide::keys::{DaemonIdentity, LoadReport};
use balsam_types::{
    FencingToken, Incarnation, ServiceName, ServiceRanges, UpstreamName, UpstreamRow,
};
use bincode::config::{Configuration, Fixint, Limit, LittleEndian, standard};
use bincode::error::{DecodeError, EncodeError};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use std::fmt;
use std::net::SocketAddr;

/// The greatest datagram in bytes; longer ones are neither sent nor read.
pub(super) const DATAGRAM_MAX_BYTES: usize = 8 << 10;

/// Memory that a decoded datagram may claim, in bytes. Decoded entries are several times as large
/// as their encoding, so that a full datagram would exceed its own length.
const DECODED_MAX_BYTES: usize = 128 << 10;

/// What the leader says of itself several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// The leader.
    pub(crate) leader: DaemonIdentity,
    /// The version of its row.
    pub(crate) version: u64,
    /// The versions of the assignments by service.
    pub(crate) ranges: Vec<(ServiceName, u64)>,
    /// Whether no grant of an earlier leader can hold any more.
    pub(crate) is_settled: bool,
    /// Whether it is about to stop and another daemon should take its place.
    pub(crate) is_leaving: bool,
    /// A digest of the requests that it refuses because they crash upstreams.
    pub(crate) refused: u64,
    /// How far it knows the tables that it follows for all.
    pub(crate) tables: FeedState,
    /// Daemons of the deployment, the leader included.
    pub(crate) daemons: u32,
    /// Some of the other daemons that it knows of, one of which may follow it; heartbeats in a row
    /// name all of them.
    pub(crate) peers: Vec<SocketAddr>,
}

/// What a commit has changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RangesDelta {
    /// The version before.
    pub(crate) base: u64,
    /// The version after.
    pub(crate) version: u64,
    /// The assignments that are new.
    pub(crate) changed: ServiceRanges,
}

/// What a daemon tells the leader that it follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FollowerStatus {
    /// The daemon in this life.
    pub(crate) daemon: DaemonIdentity,
    /// The version of the leader's row that the daemon follows.
    pub(crate) follows: u64,
    /// Whether orders that it sent as a leader may still be under way.
    pub(crate) has_orders: bool,
}

/// A change of the list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum UpstreamChange {
    /// An entry was written.
    Changed(UpstreamRow),
    /// An entry was removed.
    Removed { version: u64, name: UpstreamName },
}

/// Changes of the list of upstreams that the leader passes on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UpstreamsDelta {
    /// The version of the store that brought the change before.
    pub(crate) base: u64,
    /// The version of the store with these changes.
    pub(crate) version: u64,
    /// The changes in order.
    pub(crate) changes: Vec<UpstreamChange>,
}

/// What a daemon may ask the leader for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) enum Topic {
    /// The configuration or the list of upstreams.
    Table(FeedTable),
    /// The assignments of a service.
    Ranges(ServiceName),
}

impl fmt::Display for Topic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Table(FeedTable::Config) => f.write_str("config"),
            Self::Table(FeedTable::Upstreams) => f.write_str("upstreams"),
            Self::Ranges(service) => write!(f, "ranges of {service}"),
        }
    }
}

/// A part of the answer; the whole may be larger than a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Part {
    pub(crate) topic: Topic,
    /// The version of the whole.
    pub(crate) version: u64,
    /// The number of this part, from 0.
    pub(crate) index: u16,
    /// How many parts the whole has.
    pub(crate) count: u16,
    pub(crate) bytes: Vec<u8>,
}

/// What one daemon tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// The sender runs and wants to hear of the leader.
    Hello(FollowerStatus),
    /// The sender was the leader and has sent its last order.
    Resign(Incarnation),
    /// The sender is the leader.
    Lead(Heartbeat),
    /// The sender has committed assignments.
    Ranges(RangesDelta),
    /// The sender, which is the leader, has granted moving keys to their next owners, and is still
    /// to commit that.
    Moved {
        service: ServiceName,
        fences: Vec<FencingToken>,
    },
    /// The sender has read changes of the list of upstreams.
    Upstreams(UpstreamsDelta),
    /// The sender lacks something that the store does not give it.
    Ask(Topic),
    /// A part of what the receiver has asked for.
    Part(Part),
    /// The sender tells of requests that crash upstreams.
    Watch(TrackerMessage),
    /// The sender has sent requests on keys.
    Sample {
        service: ServiceName,
        report: LoadReport,
    },
}

/// A message and where it goes.
#[derive(Clone, Debug)]
pub(crate) struct PeerOutput {
    pub(crate) targets: Vec<SocketAddr>,
    pub(crate) message: PeerMessage,
}

/// A datagram: the credential's digest and the message.
#[derive(Debug, Serialize, Deserialize)]
struct Datagram {
    credential: u64,
    message: PeerMessage,
}

const fn config() -> Configuration<LittleEndian, Fixint, Limit<DECODED_MAX_BYTES>> {
    standard()
        .with_fixed_int_encoding()
        .with_limit::<DECODED_MAX_BYTES>()
}

/// Why a message is not sent.
#[derive(Debug, Snafu)]
pub(super) enum UnsentError {
    /// The message has no encoding.
    #[snafu(display("{source}"))]
    Encode {
        /// Why.
        source: EncodeError,
    },
    /// The message does not fit into a datagram.
    #[snafu(display("{bytes} bytes, more than {DATAGRAM_MAX_BYTES}"))]
    TooLong {
        /// Its length.
        bytes: usize,
    },
}

/// Encodes a message for daemons that share `credential`.
pub(super) fn encode(credential: u64, message: PeerMessage) -> Result<Vec<u8>, UnsentError> {
    let datagram = Datagram {
        credential,
        message,
    };
    let encoded = bincode::serde::encode_to_vec(datagram, config()).context(EncodeSnafu)?;
    let bytes = encoded.len();
    ensure!(bytes <= DATAGRAM_MAX_BYTES, TooLongSnafu { bytes });
    Ok(encoded)
}

/// Decodes a datagram; `None` if it was sent with another credential.
pub(super) fn decode(credential: u64, bytes: &[u8]) -> Result<Option<PeerMessage>, DecodeError> {
    let (datagram, _): (Datagram, usize) = bincode::serde::decode_from_slice(bytes, config())?;
    Ok((datagram.credential == credential).then_some(datagram.message))
}

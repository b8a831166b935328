//! Messages between daemons and their encoding.

use balsam_decide::crashes::TrackerMessage;
use balsam_decide::feed::{FeedReading, FeedState, FeedTable, StoreTimeMs};
use balsam_decide::keys::{DaemonIdentity, LoadReport};
use balsam_decide::room::{KeeperList, RoomMessage};
use balsam_types::{
    FencingToken, Incarnation, ServiceName, ServiceRanges, TimeMs, UpstreamName, UpstreamRow,
    ZoneName,
};
use bincode::config::{Configuration, Fixint, Limit, LittleEndian, standard};
use bincode::error::{DecodeError, EncodeError};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use std::fmt;
use std::net::SocketAddr;

/// Maximum length of a datagram in bytes. Longer messages are not sent, and longer datagrams that
/// arrive are cut at this length.
pub(super) const DATAGRAM_MAX_BYTES: usize = 8 << 10;

/// Limit on the memory that a decoder may allocate for a datagram, in bytes. Decoded entries are
/// several times as large as their encoding, so the limit is above the length of a datagram.
const DECODED_MAX_BYTES: usize = 128 << 10;

/// State that the leader announces several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// The leader.
    pub(crate) leader: DaemonIdentity,
    /// The version of the leader row.
    pub(crate) version: u64,
    /// The versions of the assignments, by service.
    pub(crate) ranges: Vec<(ServiceName, u64)>,
    /// Whether all grants of earlier leaders have expired.
    pub(crate) is_settled: bool,
    /// Whether the leader is about to stop, so that another daemon should replace it.
    pub(crate) is_leaving: bool,
    /// Digest of the requests that the leader refuses because they crash upstreams.
    pub(crate) refused: u64,
    /// Versions and ages of the tables that the leader follows on behalf of all daemons.
    pub(crate) tables: FeedState,
    /// Number of daemons in the deployment, the leader included.
    pub(crate) daemons: u32,
    /// Some of the other daemons, one of which may become the next leader. Successive heartbeats
    /// list all of them in turn.
    pub(crate) peers: Vec<SocketAddr>,
}

/// The assignments that a commit has changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RangesDelta {
    /// The version before the commit.
    pub(crate) base: u64,
    /// The version after the commit.
    pub(crate) version: u64,
    /// The new assignments.
    pub(crate) changed: ServiceRanges,
}

/// State that a daemon reports to the leader it follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FollowerStatus {
    /// The daemon and its present incarnation.
    pub(crate) daemon: DaemonIdentity,
    /// The version of the leader row that the daemon knows. It identifies the leader that the
    /// daemon follows.
    pub(crate) follows: u64,
    /// Whether orders that the daemon sent while it was the leader are still awaiting their
    /// results.
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

impl UpstreamChange {
    /// Returns the store version of the change.
    pub(crate) const fn version(&self) -> u64 {
        match self {
            Self::Changed(row) => row.version,
            Self::Removed { version, .. } => *version,
        }
    }
}

/// Changes of the list of upstreams that the leader forwards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UpstreamsDelta {
    /// The store version of the preceding change.
    pub(crate) base: u64,
    /// The store version that includes these changes.
    pub(crate) version: u64,
    /// The changes in order.
    pub(crate) changes: Vec<UpstreamChange>,
}

/// Data of which a daemon may request a snapshot from the leader.
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

/// A part of a snapshot, which may be larger than a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Part {
    pub(crate) topic: Topic,
    /// The version of the snapshot.
    pub(crate) version: u64,
    /// The index of this part, from 0.
    pub(crate) index: u16,
    /// The number of parts.
    pub(crate) count: u16,
    pub(crate) bytes: Vec<u8>,
}

/// A message from one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// The sender is running and asks the leader to send it messages.
    Hello(FollowerStatus),
    /// The sender was the leader and has sent its last order.
    Resign(Incarnation),
    /// The sender is the leader.
    Lead(Heartbeat),
    /// The sender has committed assignments.
    Ranges(RangesDelta),
    /// The sender, which is the leader, has granted moving ranges to their next owners and has not
    /// committed that yet.
    Moved {
        service: ServiceName,
        fences: Vec<FencingToken>,
    },
    /// The sender, which is the leader, has read changes of the list of upstreams.
    Upstreams(UpstreamsDelta),
    /// The sender requests a snapshot of data that it did not get from the store.
    Ask(Topic),
    /// A part of a snapshot, either requested by the receiver or sent by the leader unrequested.
    Part(Part),
    /// An observation about requests that crash upstreams.
    Watch(TrackerMessage),
    /// Load that the sender has measured on the keys of a service.
    Sample {
        service: ServiceName,
        report: LoadReport,
    },
    /// A message of `origin`, which the receiver takes as its own and passes on to `receivers`.
    Relay {
        origin: SocketAddr,
        receivers: Vec<SocketAddr>,
        message: Box<PeerMessage>,
    },
    /// What the sender has read from the store.
    Reading(FeedReading),
    /// The sender asks for the time of the store's clock.
    AskClock {
        /// When the sender asked, on its own clock.
        asked_at: TimeMs,
    },
    /// Answers [`Self::AskClock`] with the latest time that the store's clock can show.
    Clock {
        asked_at: TimeMs,
        store_now: StoreTimeMs,
    },
    /// A message between a daemon and a keeper of the room of upstreams.
    Room(RoomMessage),
    /// The sender can keep the room of upstreams.
    Capacity {
        zone: ZoneName,
        /// Strength relative to other daemons, from 1 to 100.
        weight: u16,
        is_leaving: bool,
    },
    /// The sender, which is the leader, has chosen the keepers of the room of upstreams.
    Keepers(KeeperList),
}

/// A message and its destinations.
#[derive(Clone, Debug)]
pub(crate) struct PeerOutput {
    pub(crate) targets: Vec<SocketAddr>,
    /// Destinations that can pass the message on to others.
    pub(crate) relays: Vec<SocketAddr>,
    pub(crate) message: PeerMessage,
}

/// A datagram: the digest of the credential, and the message.
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

/// Reason that a message cannot be sent.
#[derive(Debug, Snafu)]
pub(super) enum DatagramError {
    /// The message cannot be encoded.
    #[snafu(display("{source}"))]
    Encode {
        /// The cause.
        source: EncodeError,
    },
    /// The message does not fit into a datagram.
    #[snafu(display("{bytes} bytes, more than {DATAGRAM_MAX_BYTES}"))]
    TooLong {
        /// The length of the encoded message in bytes.
        bytes: usize,
    },
}

/// Encodes a message for daemons that share `credential`.
pub(super) fn encode(credential: u64, message: PeerMessage) -> Result<Vec<u8>, DatagramError> {
    let datagram = Datagram {
        credential,
        message,
    };
    let encoded = bincode::serde::encode_to_vec(datagram, config()).context(EncodeSnafu)?;
    let bytes = encoded.len();
    ensure!(bytes <= DATAGRAM_MAX_BYTES, TooLongSnafu { bytes });
    Ok(encoded)
}

/// Decodes a datagram. Returns `None` if it was sent with another credential.
pub(super) fn decode(credential: u64, bytes: &[u8]) -> Result<Option<PeerMessage>, DecodeError> {
    let (datagram, _): (Datagram, usize) = bincode::serde::decode_from_slice(bytes, config())?;
    Ok((datagram.credential == credential).then_some(datagram.message))
}

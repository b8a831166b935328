//! Messages between daemons and their encoding.

use balsam_decide::keys::Leader;
use balsam_types::{Incarnation, ServiceName, ServiceRanges, ShardKey};
use bincode::config::{Configuration, Fixint, Limit, LittleEndian, standard};
use bincode::error::{DecodeError, EncodeError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The greatest datagram in bytes; longer ones are neither sent nor read.
pub(super) const DATAGRAM_MAX_BYTES: usize = 8 << 10;

/// What the giver says of itself several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Beacon {
    /// The giver.
    pub(crate) leader: Leader,
    /// The version of its row.
    pub(crate) version: u64,
    /// The versions of the assignments by service.
    pub(crate) ranges: Vec<(ServiceName, u64)>,
    /// Whether no grant of an earlier giver can hold any more.
    pub(crate) is_settled: bool,
    /// The other daemons that it knows of, one of which may follow it.
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

/// What one daemon tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// The sender runs in this life and wants to hear of the giver.
    Hello(Leader),
    /// The sender was the giver and has sent its last order.
    Resign(Incarnation),
    /// The sender is the giver.
    Lead(Beacon),
    /// The sender has committed assignments.
    Ranges(RangesDelta),
    /// Requests were made on keys at the sender.
    Sample {
        service: ServiceName,
        keys: Vec<ShardKey>,
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

const fn config() -> Configuration<LittleEndian, Fixint, Limit<DATAGRAM_MAX_BYTES>> {
    standard()
        .with_fixed_int_encoding()
        .with_limit::<DATAGRAM_MAX_BYTES>()
}

/// Encodes a message for daemons that share `credential`.
pub(super) fn encode(credential: u64, message: PeerMessage) -> Result<Vec<u8>, EncodeError> {
    bincode::serde::encode_to_vec(
        Datagram {
            credential,
            message,
        },
        config(),
    )
}

/// Decodes a datagram; `None` if it was sent with another credential.
pub(super) fn decode(credential: u64, bytes: &[u8]) -> Result<Option<PeerMessage>, DecodeError> {
    let (datagram, _): (Datagram, usize) = bincode::serde::decode_from_slice(bytes, config())?;
    Ok((datagram.credential == credential).then_some(datagram.message))
}

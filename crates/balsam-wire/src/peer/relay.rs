//! Requests relayed from entry daemons to dispatchers, and their responses.

use super::error::{OutOfRangeSnafu, WireError};
use balsam_types::{
    Epoch, Fingerprint, HeaderField, MemberName, NotRunReason, OrderId, Outcome, RankName,
    RequestHead, RequestKey, ResponseHead, ServiceName, UnknownReason, UpstreamName,
};
use serde::{Deserialize, Serialize};
use snafu::ensure;
use std::sync::Arc;

/// The maximum remaining time of a relayed request, equal to the maximum of the setting
/// `deadline_ms`.
const REMAINING_MAX_MS: u64 = 3_600_000;

/// A request relayed from the entry daemon to the dispatcher, without its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayRequest {
    /// The owner of the key according to the sender.
    pub upstream: UpstreamName,
    /// The control epoch of the sender.
    pub epoch: Epoch,
    /// The fingerprint shared by equal requests.
    pub fingerprint: Fingerprint,
    /// The request head.
    pub head: RequestHead,
}

/// The response of the dispatcher, without its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayAnswer {
    /// The upstream responded; the body and an end marker follow.
    Answered(ResponseHead),
    /// The request ended without a response.
    Failed(Outcome),
}

/// The encoding of a [`RelayRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRelayRequest {
    upstream: String,
    epoch: u64,
    fingerprint: u64,
    service: String,
    rank: String,
    member: String,
    key: String,
    order_id: Option<String>,
    method: String,
    target: String,
    headers: Vec<WireField>,
    remaining_ms: u64,
    body_length_bytes: Option<u64>,
}

/// The encoding of a [`HeaderField`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireField {
    name: String,
    value: Vec<u8>,
}

/// The encoding of a [`RelayAnswer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireRelayAnswer {
    /// The upstream responded.
    Answered {
        /// The HTTP status code.
        status: u16,
        /// The header fields.
        headers: Vec<WireField>,
        /// The exact body length in bytes, if known.
        body_length_bytes: Option<u64>,
    },
    /// The request ended without a response.
    Failed(WireOutcome),
}

/// The encoding of an [`Outcome`] without a response. A reason is encoded as its index in the list
/// of all reasons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireOutcome {
    /// No upstream ran the request.
    NotRun(u8),
    /// An upstream may have run the request.
    Unknown(u8),
}

/// The end marker after the last body frame, which confirms that the body is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireEnd {
    /// The total length of all body frames in bytes.
    pub body_bytes: u64,
}

impl From<&HeaderField> for WireField {
    fn from(field: &HeaderField) -> Self {
        Self {
            name: field.name.to_string(),
            value: field.value.clone(),
        }
    }
}

impl From<WireField> for HeaderField {
    fn from(wire: WireField) -> Self {
        Self {
            name: Arc::from(wire.name),
            value: wire.value,
        }
    }
}

impl From<&RelayRequest> for WireRelayRequest {
    fn from(request: &RelayRequest) -> Self {
        let head = &request.head;
        Self {
            upstream: request.upstream.to_string(),
            epoch: request.epoch.0,
            fingerprint: request.fingerprint.0,
            service: head.service.to_string(),
            rank: head.rank.to_string(),
            member: head.member.to_string(),
            key: head.key.text.to_string(),
            order_id: head.order_id.as_ref().map(ToString::to_string),
            method: head.method.to_string(),
            target: head.target.to_string(),
            headers: head.headers.iter().map(WireField::from).collect(),
            remaining_ms: head.remaining_ms,
            body_length_bytes: head.body_length_bytes,
        }
    }
}

impl TryFrom<WireRelayRequest> for RelayRequest {
    type Error = WireError;
    fn try_from(wire: WireRelayRequest) -> Result<Self, WireError> {
        ensure!(
            wire.remaining_ms <= REMAINING_MAX_MS,
            OutOfRangeSnafu {
                field: "remaining_ms",
                value: wire.remaining_ms.to_string(),
                accepted: "0 to 3600000"
            }
        );
        Ok(Self {
            upstream: UpstreamName::new(wire.upstream)?,
            epoch: Epoch(wire.epoch),
            fingerprint: Fingerprint(wire.fingerprint),
            head: RequestHead {
                service: ServiceName::new(wire.service)?,
                rank: RankName::new(wire.rank)?,
                member: MemberName::new(wire.member)?,
                key: RequestKey::new(wire.key),
                order_id: wire.order_id.map(OrderId::new).transpose()?,
                method: Arc::from(wire.method),
                target: Arc::from(wire.target),
                headers: wire.headers.into_iter().map(HeaderField::from).collect(),
                remaining_ms: wire.remaining_ms,
                body_length_bytes: wire.body_length_bytes,
            },
        })
    }
}

impl From<&RelayAnswer> for WireRelayAnswer {
    fn from(answer: &RelayAnswer) -> Self {
        match answer {
            RelayAnswer::Answered(head) => Self::Answered {
                status: head.status,
                headers: head.headers.iter().map(WireField::from).collect(),
                body_length_bytes: head.body_length_bytes,
            },
            RelayAnswer::Failed(Outcome::NotRun(reason)) => {
                Self::Failed(WireOutcome::NotRun(*reason as u8))
            }
            RelayAnswer::Failed(Outcome::Unknown(reason)) => {
                Self::Failed(WireOutcome::Unknown(*reason as u8))
            }
            // Without a head the response cannot be forwarded, so the outcome for the caller is
            // unknown.
            RelayAnswer::Failed(Outcome::Answered) => {
                Self::Failed(WireOutcome::Unknown(UnknownReason::AnswerTruncated as u8))
            }
        }
    }
}

impl TryFrom<WireRelayAnswer> for RelayAnswer {
    type Error = WireError;
    fn try_from(wire: WireRelayAnswer) -> Result<Self, WireError> {
        Ok(match wire {
            WireRelayAnswer::Answered {
                status,
                headers,
                body_length_bytes,
            } => {
                ensure!(
                    (200..=599).contains(&status),
                    OutOfRangeSnafu {
                        field: "status",
                        value: status.to_string(),
                        accepted: "200 to 599"
                    }
                );
                Self::Answered(ResponseHead {
                    status,
                    headers: headers.into_iter().map(HeaderField::from).collect(),
                    body_length_bytes,
                })
            }
            WireRelayAnswer::Failed(WireOutcome::NotRun(position)) => Self::Failed(
                Outcome::NotRun(reason_at("not-run reason", NotRunReason::ALL, position)?),
            ),
            WireRelayAnswer::Failed(WireOutcome::Unknown(position)) => Self::Failed(
                Outcome::Unknown(reason_at("unknown reason", UnknownReason::ALL, position)?),
            ),
        })
    }
}

fn reason_at<T: Copy>(field: &'static str, all: &[T], position: u8) -> Result<T, WireError> {
    match all.get(usize::from(position)) {
        Some(reason) => Ok(*reason),
        None => OutOfRangeSnafu {
            field,
            value: position.to_string(),
            accepted: "a position in the list of reasons",
        }
        .fail(),
    }
}

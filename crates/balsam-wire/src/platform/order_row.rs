//! Table rows for order claims and outcomes.
//!
//! See [the design page, section 8](../../../../docs/design.md#8-outcomes-and-orders).

use super::{BytesBody, BytesError};
use balsam_decide::orders::{ClaimRow, OrderKey, OrderState, RecordedOutcome};
use balsam_types::{
    AttemptId, HeaderField, Incarnation, MemberName, OrderId, ResponseHead, ServiceName,
    UnknownReason,
};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use std::sync::Arc;

/// The key prefix of order rows.
pub const ORDER_PREFIX: &str = "order/";

/// The value of an order row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRow {
    /// The attempt that claimed the order.
    pub attempt: AttemptId,
    /// The daemon that claimed the order.
    pub by: Incarnation,
    /// The state of the order.
    pub state: OrderStateBody,
}

/// The state of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderStateBody {
    /// The order is claimed, and no outcome is recorded yet.
    Claimed,
    /// The claim was released, and the order has not run.
    Released,
    /// The outcome is recorded.
    Done(RecordedOutcomeBody),
}

/// The recorded outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordedOutcomeBody {
    /// The upstream responded.
    Answered {
        /// The HTTP status code.
        status: u16,
        /// The header fields.
        headers: Vec<RecordedHeader>,
        /// The body length in bytes, if known.
        body_length_bytes: Option<u64>,
        /// The body; `None` if it exceeded the size limit for recording.
        body: Option<BytesBody>,
    },
    /// It is unknown whether the order ran.
    Unknown(UnknownReason),
}

/// A header field of a recorded response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedHeader {
    /// The name of the field.
    pub name: String,
    /// The value of the field.
    pub value: BytesBody,
}

/// An error for an order row that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum OrderRowError {
    /// The value of a header field is invalid.
    #[snafu(display("header {name}: {source}"))]
    Header {
        /// The name of the field.
        name: String,
        /// The underlying error.
        source: BytesError,
    },
    /// The recorded body is invalid.
    #[snafu(display("body: {source}"))]
    Body {
        /// The underlying error.
        source: BytesError,
    },
}

/// Returns the row key of an order. Keys are unique because names cannot contain `/`.
pub fn order_row_key(order: &OrderKey) -> String {
    format!(
        "{ORDER_PREFIX}{}/{}/{}",
        order.service, order.member, order.id
    )
}

/// Parses the row key of an order; returns `None` for other keys.
pub fn parse_order_row_key(key: &str) -> Option<OrderKey> {
    let mut names = key.strip_prefix(ORDER_PREFIX)?.splitn(3, '/');
    Some(OrderKey {
        service: ServiceName::new(names.next()?).ok()?,
        member: MemberName::new(names.next()?).ok()?,
        id: OrderId::new(names.next()?).ok()?,
    })
}

impl From<ClaimRow> for OrderRow {
    fn from(row: ClaimRow) -> Self {
        Self {
            attempt: row.attempt,
            by: row.by,
            state: match row.state {
                OrderState::Claimed => OrderStateBody::Claimed,
                OrderState::Released => OrderStateBody::Released,
                OrderState::Done(outcome) => OrderStateBody::Done(outcome.into()),
            },
        }
    }
}

impl TryFrom<OrderRow> for ClaimRow {
    type Error = OrderRowError;

    fn try_from(row: OrderRow) -> Result<Self, OrderRowError> {
        Ok(Self {
            attempt: row.attempt,
            by: row.by,
            state: match row.state {
                OrderStateBody::Claimed => OrderState::Claimed,
                OrderStateBody::Released => OrderState::Released,
                OrderStateBody::Done(outcome) => OrderState::Done(outcome.try_into()?),
            },
        })
    }
}

impl From<RecordedOutcome> for RecordedOutcomeBody {
    fn from(outcome: RecordedOutcome) -> Self {
        match outcome {
            RecordedOutcome::Answered { head, body } => Self::Answered {
                status: head.status,
                headers: head.headers.into_iter().map(Into::into).collect(),
                body_length_bytes: head.body_length_bytes,
                body: body.map(Into::into),
            },
            RecordedOutcome::Unknown(reason) => Self::Unknown(reason),
        }
    }
}

impl TryFrom<RecordedOutcomeBody> for RecordedOutcome {
    type Error = OrderRowError;

    fn try_from(outcome: RecordedOutcomeBody) -> Result<Self, OrderRowError> {
        match outcome {
            RecordedOutcomeBody::Answered {
                status,
                headers,
                body_length_bytes,
                body,
            } => {
                let headers: Result<_, _> = headers.into_iter().map(TryInto::try_into).collect();
                let head = ResponseHead {
                    status,
                    headers: headers?,
                    body_length_bytes,
                };
                let body = body.map(TryInto::try_into).transpose().context(BodySnafu)?;
                Ok(Self::Answered { head, body })
            }
            RecordedOutcomeBody::Unknown(reason) => Ok(Self::Unknown(reason)),
        }
    }
}

impl From<HeaderField> for RecordedHeader {
    fn from(field: HeaderField) -> Self {
        Self {
            name: field.name.as_ref().to_owned(),
            value: field.value.into(),
        }
    }
}

impl TryFrom<RecordedHeader> for HeaderField {
    type Error = OrderRowError;

    fn try_from(header: RecordedHeader) -> Result<Self, OrderRowError> {
        let RecordedHeader { name, value } = header;
        let value = value
            .try_into()
            .with_context(|_| HeaderSnafu { name: name.clone() })?;
        Ok(Self {
            name: Arc::from(name),
            value,
        })
    }
}

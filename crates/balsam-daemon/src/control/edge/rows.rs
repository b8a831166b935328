//! JSON encoding and decoding of table rows and objects.

use super::PlatformError;
use super::platform::MalformedSnafu;
use balsam_wire::platform::TableRow;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use snafu::ResultExt;
use std::time::Duration;
use tokio::time::Instant;

/// Decodes the value of a row.
pub(crate) fn decode_row<T: DeserializeOwned>(row: TableRow) -> Result<T, PlatformError> {
    let subject = row.key;
    serde_json::from_value(row.value).context(MalformedSnafu { subject })
}

/// Encodes the value of the row with the key `subject`.
pub(crate) fn encode_row(subject: &str, value: &impl Serialize) -> Result<Value, PlatformError> {
    serde_json::to_value(value).context(MalformedSnafu { subject })
}

/// Decodes the content of the object with the name `subject`.
pub(crate) fn decode_bytes<T: DeserializeOwned>(
    subject: &str,
    content: &[u8],
) -> Result<T, PlatformError> {
    serde_json::from_slice(content).context(MalformedSnafu { subject })
}

/// Encodes the content of the object with the name `subject`.
pub(crate) fn encode_bytes(
    subject: &str,
    value: &impl Serialize,
) -> Result<Vec<u8>, PlatformError> {
    serde_json::to_vec(value).context(MalformedSnafu { subject })
}

/// Returns the time left until `deadline`, or zero if it has passed.
pub(crate) fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

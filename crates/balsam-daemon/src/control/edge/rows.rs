//! Conversions between rows or objects and their values.

use super::PlatformError;
use super::platform::MalformedSnafu;
use balsam_wire::platform::TableRow;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use snafu::ResultExt;
use std::time::Duration;
use tokio::time::Instant;

/// Reads the value of a row.
pub(crate) fn decode_row<T: DeserializeOwned>(row: TableRow) -> Result<T, PlatformError> {
    let subject = row.key;
    serde_json::from_value(row.value).context(MalformedSnafu { subject })
}

/// Makes the value of the row `subject`.
pub(crate) fn encode_row(subject: &str, value: &impl Serialize) -> Result<Value, PlatformError> {
    serde_json::to_value(value).context(MalformedSnafu { subject })
}

/// Reads the content of an object.
pub(crate) fn decode_bytes<T: DeserializeOwned>(
    subject: &str,
    content: &[u8],
) -> Result<T, PlatformError> {
    serde_json::from_slice(content).context(MalformedSnafu { subject })
}

/// Makes the content of the object `subject`.
pub(crate) fn encode_bytes(
    subject: &str,
    value: &impl Serialize,
) -> Result<Vec<u8>, PlatformError> {
    serde_json::to_vec(value).context(MalformedSnafu { subject })
}

/// Returns the time left until `until`.
pub(crate) fn remaining(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now())
}

//! The daemons' own rows in the store.

use balsam_types::ServiceName;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use std::sync::Arc;

/// A row that cannot be encoded or understood.
#[derive(Debug, Snafu)]
#[snafu(display("row {key}: {source}"))]
pub struct RowError {
    key: Arc<str>,
    source: serde_json::Error,
}

/// Which row a key names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnKey {
    /// The giver.
    Lead,
    /// The assignments of a service.
    Ranges(ServiceName),
}

const LEAD: &str = "lead";
const RANGES: &str = "ranges/";

impl OwnKey {
    /// Returns the row's key.
    pub fn text(&self) -> Arc<str> {
        match self {
            Self::Lead => Arc::from(LEAD),
            Self::Ranges(service) => Arc::from(format!("{RANGES}{service}")),
        }
    }

    /// Finds what a key names, or `None` for a key of another writer.
    pub fn from_text(text: &str) -> Option<Self> {
        if text == LEAD {
            return Some(Self::Lead);
        }
        let service = text.strip_prefix(RANGES)?;
        ServiceName::new(service).ok().map(Self::Ranges)
    }
}

/// Encodes the value of a row.
///
/// # Errors
///
/// Returns a [`RowError`] if the value has no form in JSON.
pub fn encode_row(key: &Arc<str>, value: &impl Serialize) -> Result<Bytes, RowError> {
    let bytes = serde_json::to_vec(value).context(RowSnafu {
        key: Arc::clone(key),
    })?;
    Ok(Bytes::from(bytes))
}

/// Decodes the value of a row.
///
/// # Errors
///
/// Returns a [`RowError`] if the bytes are no value of the row.
pub fn decode_row<T: DeserializeOwned>(key: &Arc<str>, value: &[u8]) -> Result<T, RowError> {
    serde_json::from_slice(value).context(RowSnafu {
        key: Arc::clone(key),
    })
}

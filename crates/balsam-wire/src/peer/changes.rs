//! Log entries and snapshots for daemons that have to catch up.

use super::error::{NestedSnafu, WireError};
use balsam_decide::node::ChangesBody;
use balsam_types::Epoch;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

/// The encoding of a request for the log entries after an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireChangesRequest {
    after: u64,
}

/// The encoding of a [`ChangesBody`].
///
/// Entries and the state are embedded as JSON, the same form that the table stores, because
/// settings values are untagged enums, which bincode cannot decode.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireChanges {
    /// The log entries after the requested epoch.
    Entries(Vec<Vec<u8>>),
    /// The complete control state.
    Snapshot(Vec<u8>),
}

impl From<Epoch> for WireChangesRequest {
    fn from(after: Epoch) -> Self {
        Self { after: after.0 }
    }
}

impl From<WireChangesRequest> for Epoch {
    fn from(wire: WireChangesRequest) -> Self {
        Self(wire.after)
    }
}

impl TryFrom<&ChangesBody> for WireChanges {
    type Error = WireError;
    fn try_from(body: &ChangesBody) -> Result<Self, WireError> {
        Ok(match body {
            ChangesBody::Entries(entries) => {
                let entries = entries.iter().map(|entry| to_json("log entry", entry));
                Self::Entries(entries.collect::<Result<_, _>>()?)
            }
            ChangesBody::Snapshot(state) => Self::Snapshot(to_json("snapshot", state)?),
        })
    }
}

impl TryFrom<WireChanges> for ChangesBody {
    type Error = WireError;
    fn try_from(wire: WireChanges) -> Result<Self, WireError> {
        Ok(match wire {
            WireChanges::Entries(entries) => {
                let entries = entries.iter().map(|entry| from_json("log entry", entry));
                Self::Entries(entries.collect::<Result<_, _>>()?)
            }
            WireChanges::Snapshot(state) => Self::Snapshot(from_json("snapshot", &state)?),
        })
    }
}

fn to_json(field: &'static str, value: &impl Serialize) -> Result<Vec<u8>, WireError> {
    serde_json::to_vec(value).context(NestedSnafu { field })
}

fn from_json<T: DeserializeOwned>(field: &'static str, bytes: &[u8]) -> Result<T, WireError> {
    serde_json::from_slice(bytes).context(NestedSnafu { field })
}

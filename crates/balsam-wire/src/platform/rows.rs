//! Table rows for the control state and for crash counts.
//!
//! Row `log/{epoch}` holds a [`balsam_types::control::LogEntry`].
//! See [the design page, section 4](../../../../docs/design.md#4-control-state).

use balsam_decide::quarantine::CrashCount;
use balsam_types::{AttemptId, Epoch, Fingerprint, Incarnation, ServiceName};
use serde::{Deserialize, Serialize};

/// The key of the row with the newest epoch.
pub const CONTROL_ROW: &str = "control";
/// The key of the row that refers to the newest snapshot.
pub const SNAPSHOT_ROW: &str = "snapshot";
/// The key prefix of change log rows.
pub const LOG_PREFIX: &str = "log/";
/// The key of the row with crash counts.
pub const CRASH_ROW: &str = "crashes";

/// The value of row `control`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlRow {
    /// The newest epoch.
    pub epoch: Epoch,
    /// The commit attempt that wrote the epoch.
    pub attempt: AttemptId,
}

/// The value of row `snapshot`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRow {
    /// The epoch of the snapshot.
    pub epoch: Epoch,
    /// The name of the object that contains the snapshot.
    pub object: String,
}

/// The value of row `crashes`, which is shared by all dispatchers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRow {
    /// The crash counts by request fingerprint and observing daemon.
    pub counts: Vec<CrashCountBody>,
}

/// An entry of row `crashes`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashCountBody {
    /// The fingerprint shared by equal requests.
    pub fingerprint: Fingerprint,
    /// The service that the request addresses.
    pub service: ServiceName,
    /// The daemon that observed the crashes.
    pub by: Incarnation,
    /// The number of upstream connections that broke during equal requests.
    pub crashes: u32,
}

impl From<CrashCount> for CrashCountBody {
    fn from(count: CrashCount) -> Self {
        Self {
            fingerprint: count.fingerprint,
            service: count.service,
            by: count.by,
            crashes: count.crashes,
        }
    }
}

impl From<CrashCountBody> for CrashCount {
    fn from(body: CrashCountBody) -> Self {
        Self {
            fingerprint: body.fingerprint,
            service: body.service,
            by: body.by,
            crashes: body.crashes,
        }
    }
}

/// Returns the key of the log row for `epoch`, zero-padded so that keys sort by epoch.
pub fn log_row_key(epoch: Epoch) -> String {
    format!("{LOG_PREFIX}{:020}", epoch.0)
}

/// Parses the key of a log row; returns `None` for other keys.
pub fn parse_log_row_key(key: &str) -> Option<Epoch> {
    key.strip_prefix(LOG_PREFIX)?.parse().ok().map(Epoch)
}

/// Returns the name of the object that contains the snapshot of `epoch`.
pub fn snapshot_object(epoch: Epoch) -> String {
    format!("snapshot/{:020}", epoch.0)
}

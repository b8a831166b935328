//! Rows of the control state and of crash counts.
//!
//! Row `log/{epoch}` holds a [`balsam_types::control::LogEntry`].
//! See [the design page, section 4](../../../../docs/design.md#4-control-state).

use balsam_decide::quarantine::CrashCount;
use balsam_types::{AttemptId, Epoch, Fingerprint, Incarnation, ServiceName};
use serde::{Deserialize, Serialize};

/// Key of the row that holds the newest epoch.
pub const CONTROL_ROW: &str = "control";
/// Key of the row that names the newest snapshot.
pub const SNAPSHOT_ROW: &str = "snapshot";
/// Key prefix of the change log.
pub const LOG_PREFIX: &str = "log/";
/// Key of the row of crash counts.
pub const CRASH_ROW: &str = "crashes";

/// Value of row `control`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlRow {
    /// The newest epoch.
    pub epoch: Epoch,
    /// The attempt that committed it.
    pub attempt: AttemptId,
}

/// Value of row `snapshot`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRow {
    /// The epoch of the snapshot.
    pub epoch: Epoch,
    /// The name of the object that holds it.
    pub object: String,
}

/// Value of row `crashes`, which all dispatchers share.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRow {
    /// The counts of all requests by the daemons that saw the crashes.
    pub counts: Vec<CrashCountBody>,
}

/// One count of row `crashes`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashCountBody {
    /// What equal requests have in common.
    pub fingerprint: Fingerprint,
    /// The service that the request addresses.
    pub service: ServiceName,
    /// The daemon that saw the crashes.
    pub by: Incarnation,
    /// Upstream connections that broke on equal requests.
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

/// Returns the key of the log row of `epoch`; the padding keeps rows in epoch order.
pub fn log_row_key(epoch: Epoch) -> String {
    format!("{LOG_PREFIX}{:020}", epoch.0)
}

/// Returns the epoch of a log row's key, or `None` if the key is not one.
pub fn parse_log_row_key(key: &str) -> Option<Epoch> {
    key.strip_prefix(LOG_PREFIX)?.parse().ok().map(Epoch)
}

/// Returns the name of the object that holds the snapshot of `epoch`.
pub fn snapshot_object(epoch: Epoch) -> String {
    format!("snapshot/{:020}", epoch.0)
}

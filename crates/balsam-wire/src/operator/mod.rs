//! The JSON interface for operators.
//!
//! See [the design page, section 9.2](../../../../docs/design.md#92-operators-http11--json-bearer-token-separate-listener).

mod command;
mod daemons;
mod edit;
mod entry;
mod error;
mod id_text;
mod owner;
mod quarantine;
mod settings;
mod upstreams;

pub use command::{CommandResponse, CommandState, DrainRequest, ForgetRequest};
pub use daemons::{DaemonBody, DaemonsResponse, EpochBody, EpochsResponse, RosterBody};
pub use edit::{EditBody, EditRequest};
pub use entry::{EntryOwnerResponse, EntryResponse, EntryUpstreamBody, EntryUpstreamsResponse};
pub use error::{ErrorCode, ErrorResponse, FieldBody};
pub use id_text::IdText;
pub use owner::{OwnerResponse, OwnerState};
pub use quarantine::{QuarantineBody, QuarantineResponse};
pub use settings::{ExplainResponse, ExplainedBody, NodeBody, SettingsResponse};
pub use upstreams::{UpstreamBody, UpstreamsResponse};

/// Path of the effective settings at a node. Query parameters: `path` and, for a single value,
/// `key`.
pub const EXPLAIN_PATH: &str = "/v1/settings/explain";
/// Path of the settings tree.
pub const SETTINGS_PATH: &str = "/v1/settings";
/// Path for edits of the settings tree.
pub const EDIT_PATH: &str = "/v1/settings/edit";
/// Path of the owner of a key. Query parameters: `service` and `key`.
pub const OWNER_PATH: &str = "/v1/owner";
/// Path of the roster.
pub const DAEMONS_PATH: &str = "/v1/daemons";
/// Path of the upstreams.
pub const UPSTREAMS_PATH: &str = "/v1/upstreams";
/// Path suffix, after the upstream's name, that starts or cancels a drain.
pub const DRAIN_SUFFIX: &str = "/drain";
/// Path of quarantined requests. `DELETE` takes the query parameter `fingerprint`.
pub const QUARANTINE_PATH: &str = "/v1/quarantine";
/// Path for removing a dead daemon from the roster.
pub const FORGET_PATH: &str = "/v1/roster/forget";
/// Path of the adopted epochs.
pub const EPOCHS_PATH: &str = "/v1/epochs";
/// Path of the state of an entry daemon.
pub const ENTRY_PATH: &str = "/v1/entry";
/// Path of the owner of a key according to an entry daemon. Query parameters: `service` and `key`.
pub const ENTRY_OWNER_PATH: &str = "/v1/entry/owner";
/// Path of the upstreams that an entry daemon believes to exist.
pub const ENTRY_UPSTREAMS_PATH: &str = "/v1/entry/upstreams";
/// Path of the metrics in the Prometheus text format.
pub const METRICS_PATH: &str = "/metrics";

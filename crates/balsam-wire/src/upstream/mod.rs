//! The JSON control interface of upstreams, and the header fields of their work interface.
//!
//! See [the design page, section 9.4](../../../../docs/design.md#94-upstream-http--json-control-plain-http-work-stand-in-balsam-upstream).

mod faults;
mod grant;
mod health;
mod journal;
mod not_run;

pub mod headers;

pub use faults::{AnswerFault, UpstreamFaults};
pub use grant::{
    GrantRequest, GrantResponse, GrantUnitsBody, GrantVerdictBody, RevokeRequest, RevokeResponse,
};
pub use health::{DrainResponse, HealthResponse, HealthState, LoadResponse};
pub use journal::{AbortCause, Execution, ExecutionEnd, JournalResponse};
pub use not_run::NotRunCause;

/// Path for grants.
pub const GRANT_PATH: &str = "/control/grant";
/// Path for revocations.
pub const REVOKE_PATH: &str = "/control/revoke";
/// Path of the health report, which may be out of date.
pub const HEALTH_PATH: &str = "/control/health";
/// Path of the load report, which may be out of date.
pub const LOAD_PATH: &str = "/control/load";
/// Path for the drain command.
pub const DRAIN_PATH: &str = "/control/drain";
/// Path of the execution journal of the upstream stand-in.
pub const JOURNAL_PATH: &str = "/journal";
/// Path for fault injection in the upstream stand-in.
pub const FAULTS_PATH: &str = "/faults";

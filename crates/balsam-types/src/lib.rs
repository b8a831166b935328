//! Core types of balsamswitch: names, epochs, settings, control state changes and outcomes.
//!
//! This crate contains neither I/O nor decision logic, so that every other crate can depend on it.
//! See [the design page](../../../docs/design.md) for the meaning of each term.

mod clock_time;
mod collections;
mod credential;
mod era;
mod ids;
mod outcome;
mod ranges;
mod request;
mod routing;
mod upstreams;

pub mod control;
pub mod names;
pub mod settings;
pub mod timing;

pub use clock_time::TimeMs;
pub use collections::{Map, Set, new_map, new_set};
pub use credential::{CREDENTIAL_MAX_BYTES, CREDENTIAL_MIN_BYTES, Credential, CredentialError};
pub use era::StoreEra;
pub use ids::{AttemptId, Epoch, Fingerprint, Incarnation, KeyHash, Round, UnitId};
pub use names::{
    DaemonName, MemberName, NameError, OrderId, RankName, RegionName, RouteName, ServiceName,
    UpstreamName, ZoneName,
};
pub use outcome::{NotRunReason, Outcome, UnknownReason};
pub use ranges::{Assignment, FencingToken, KeyRange, Owner, ServiceRanges, ShardKey};
pub use request::{HeaderField, RequestHead, RequestKey, ResponseHead};
pub use routing::{
    CallerLimits, ConfigVersion, Route, RouteKind, RoutingConfig, ServicePolicy, ServiceShare,
    WarmupTerms,
};
pub use upstreams::{StartTime, UpstreamEntry, UpstreamRow, UpstreamState};

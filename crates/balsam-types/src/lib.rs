//! Core types of balsamswitch: names, epochs, settings keys, control state changes and outcomes.
//!
//! This crate does no I/O and takes no decisions, so that every other crate can depend on it.
//! See [the design page](../../../docs/design.md) for the meaning of each term.

mod clock_time;
mod collections;
mod ids;
mod outcome;
mod request;

pub mod control;
pub mod names;
pub mod settings;
pub mod timing;

pub use clock_time::TimeMs;
pub use collections::{Map, Set, new_map, new_set};
pub use ids::{AttemptId, Epoch, Fingerprint, Incarnation, KeyHash, Round, UnitId};
pub use names::{
    MemberName, NameError, OrderId, RankName, RegionName, ServiceName, UpstreamName, ZoneName,
};
pub use outcome::{NotRunReason, Outcome, UnknownReason};
pub use request::{HeaderField, RequestHead, RequestKey, ResponseHead};

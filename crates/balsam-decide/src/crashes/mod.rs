//! Requests that seem to crash the upstreams that run them.
//!
//! An upstream that crashes tells nobody why, and callers repeat the request at any daemon. Daemons
//! therefore share what they saw, and refuse a request that several upstreams did not survive.
//! See [the platform page](../../../../docs/platform.md#requests-that-crash-upstreams).

mod list;
mod message;
mod reports;
mod suspects;
mod tracker;

pub use list::SuspectList;
pub use message::{SuspectSource, TrackerInput, TrackerMessage, TrackerNotice, TrackerOutput};
pub use reports::CrashReport;
pub use suspects::{Crash, CrashCount, CrashedUpstream, Refused, Suspects};
pub use tracker::CrashTracker;

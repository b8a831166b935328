//! Detects requests that crash the upstreams that process them, and refuses these requests.
//!
//! An upstream that crashes reports no reason, and callers retry the request at any daemon. The
//! daemons therefore share the crashes that they observe, and refuse a request after several
//! upstreams have crashed while processing it.
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

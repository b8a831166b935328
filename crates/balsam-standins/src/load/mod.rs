//! An open-loop load generator.
//!
//! Requests are sent at times fixed in advance, whether or not earlier ones were answered, and
//! latencies count from those times. A slow server therefore cannot hide waiting time by slowing
//! the generator down. The path is `schedule` → `run` → `record` → `report`.
//! See [the design page, section 1.2](../../../../docs/design.md#12-measures).

mod plan;
mod record;
mod report;
mod run;
mod schedule;
mod send;

pub use plan::{KeyChoice, LoadPlan, LoadStream, PlanError, WorkKind};
pub use record::{HistogramError, Measured, Recorder, Verdict};
pub use report::{LoadReport, MemberReport, RankReport, jain_index};
pub use run::{LoadError, LoadResult, run_load};
pub use schedule::{Arrival, arrivals};

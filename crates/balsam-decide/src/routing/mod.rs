//! Which route takes a request, and which of its services.
//!
//! See [the platform page](../../../../docs/platform.md#configuration).

mod split;
mod table;

pub use split::TrafficSplits;
pub use table::RouteTable;

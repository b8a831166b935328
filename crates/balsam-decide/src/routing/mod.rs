//! The choice of the route of a request, and of a service of that route.
//!
//! See [the platform page](../../../../docs/platform.md#configuration).

mod split;
mod table;

pub use split::TrafficSplits;
pub use table::RouteTable;

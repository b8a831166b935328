//! A whole deployment of child processes: platform, upstreams and daemons, with a fault proxy on
//! each link.

mod daemon;
mod members;
mod plan;
mod wait;

pub use daemon::DaemonProcess;
pub use members::{Cluster, UpstreamProcess};
pub use plan::{ClusterPlan, ServicePlan, UpstreamPlan};
pub use wait::wait_until;

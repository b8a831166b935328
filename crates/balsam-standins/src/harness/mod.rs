//! Tools for tests: clients of the stand-ins, child processes, a fault proxy and a journal checker.

pub mod cluster;

mod child;
mod client;
mod error;
mod fault_proxy;
mod journal_check;
mod link_source;
mod operator_client;
mod platform_client;
mod program;
mod proxy_pump;
mod upstream_client;

pub use child::{Child, ChildBuilder};
pub use client::{Answer, Client, Sent};
pub use error::HarnessError;
pub use fault_proxy::FaultProxy;
pub use journal_check::{OrderName, OrderReports, Violation, check_journals};
pub use operator_client::OperatorClient;
pub use platform_client::PlatformClient;
pub use program::Program;
pub use proxy_pump::{Direction, LinkFaults, LinkMode};
pub use upstream_client::{UpstreamClient, Work};

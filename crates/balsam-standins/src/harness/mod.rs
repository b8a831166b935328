//! Tools for tests: clients of the stand-ins, child processes, a fault proxy and a journal checker.

mod client;
mod error;
mod platform_client;
mod upstream_client;

pub use client::{Answer, Client, Sent};
pub use error::HarnessError;
pub use platform_client::PlatformClient;
pub use upstream_client::{UpstreamClient, Work};

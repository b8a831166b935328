//! Interfaces to the systems outside the process: the clock, the platform and the upstreams.
//!
//! They are the only traits of the control path; tests and other front ends supply their own
//! implementations.

mod http_platform;
mod http_upstream;
mod platform;
mod platform_task;
mod table_client;
mod upstream;

pub(crate) mod rows;

pub use balsam_clock::{BootClock, Clock};
pub use http_platform::HttpPlatform;
pub use http_upstream::HttpUpstreamControl;
pub(crate) use platform::OrderSnafu;
pub use platform::{Platform, PlatformError};
pub use platform_task::{ControlExchange, PlatformTask, TableExchange};
pub use table_client::TableClient;
pub use upstream::{ExchangeError, UpstreamControl, UpstreamControlError};

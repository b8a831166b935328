//! Stand-ins for the platform and the upstreams, a test harness and a load generator.
//!
//! See [the design page, section 9](../../../docs/design.md#9-interfaces).

pub mod clock;

pub mod demo;
pub mod harness;
pub mod load;
pub mod measure;
pub mod platform;
pub mod serve;
pub mod upstream;

pub use clock::boot_time;

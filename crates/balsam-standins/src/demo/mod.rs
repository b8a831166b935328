//! A small deployment in one process: a platform, upstreams of three services and two daemons.
//!
//! It shows the main job from end to end, and needs nothing but free loopback ports.

mod deployment;
mod error;
mod lines;
mod services;
mod show;

pub use deployment::Deployment;
pub use error::DemoError;
pub use show::run_demo;

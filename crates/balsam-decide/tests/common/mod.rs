//! A seeded driver that runs nodes, upstreams and a table under faults, without sockets.
//!
//! Each schedule follows from its seed alone. Each participant has its own clock with its own
//! offset and a rate within 1 % of true time.
#![allow(dead_code, reason = "each test file uses a part of the driver")]

pub mod check;
mod control_calls;
pub mod faults;
pub mod participants;
pub mod run;
mod table;
mod work;
pub mod world;

//! A deterministic simulation of nodes, upstreams and a table under faults, without sockets.
//!
//! One simulation run is called a schedule, and its seed determines all of it. Each participant has
//! its own clock, whose offset is random and whose rate is within 1 % of true time.
#![allow(dead_code, reason = "each test file uses a part of the driver")]

pub mod check;
mod control_calls;
pub mod faults;
pub mod participants;
pub mod run;
mod table;
mod work;
pub mod world;

//! Test harness that runs the request paths of several daemons in one process, with scripted
//! upstreams and callers.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of the helpers"
)]

mod caller;
mod cluster;
mod upstream;

pub use caller::{call, open_request, read_answer, read_to_end, read_until};
pub use cluster::{Cluster, TestDaemon, now, set_body_max};
pub use upstream::{ReceivedRequest, Upstream};

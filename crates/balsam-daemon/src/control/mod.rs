//! The control path, in pipeline order: read the platform (`observe`), decide (`decide`), write to
//! the platform's table (`commit`), send messages to peers and upstreams (`distribute`) and publish
//! the result to the request path (`apply`). `edge` holds the clients of the outside systems.
//!
//! See [the design page, section 2.3](../../../../docs/design.md#23-control-path).

pub mod apply;
pub mod commit;
pub mod decide;
pub mod distribute;
pub mod edge;
pub mod observe;

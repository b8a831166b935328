//! The HTTP interface for operators, on a listener of its own.
//!
//! A request passes from the accept loop through the credential check and the routing to its
//! endpoint, which returns a typed response. The endpoints are independent of JSON, which is decoded
//! and encoded around them. See
//! [the design page, section 9.2](../../../../docs/design.md#92-operators-http11--json-bearer-token-separate-listener).

mod answer;
mod body;
mod context;
mod endpoints;
mod listener;
mod query;
mod route;
mod serve;

pub use context::OperatorContext;
pub use listener::OperatorListener;

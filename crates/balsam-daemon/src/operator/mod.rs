//! The operators' listener.
//!
//! A request passes from the accept loop through the credential check, the route and its endpoint
//! to the answer; only the last step knows JSON. See
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

//! An HTTP/1.1 server with one task for each connection.

mod body;
mod connection;
mod listener;
mod reply;
mod run;

pub use body::{BodyError, read_body, read_json};
pub use connection::ConnectionCloser;
pub use listener::{ConnectionLimits, ServerHandle, bind, serve};
pub use reply::{ErrorBody, bad_request, bytes_reply, error_reply, json_reply, unavailable};
pub use run::{Announcement, StandinError, announce, run_until_terminated};

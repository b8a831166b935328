//! The transport between daemons: h2 streams with bincode messages.
//!
//! One task owns the listener, one task owns each connection to a peer, and all of them talk to the
//! rest of the daemon by messages. See
//! [the design page, section 9.5](../../../../docs/design.md#95-peers-h2--bincode-bearer-credential).

mod client;
mod error;
mod message;

pub use client::{PeerClient, PeerCommand};
pub use error::PeerError;
pub use message::{IncomingControl, PeerRequest, PeerResponse};

//! The transport between daemons: HTTP/2 streams with bincode messages.
//!
//! One task owns the listener, one task owns each connection to a peer, and all of them talk to the
//! rest of the daemon by messages. See
//! [the design page, section 9.5](../../../../docs/design.md#95-peers-h2--bincode-bearer-credential).

mod backoff;
mod client;
mod connection;
mod error;
mod exchange;
mod incoming;
mod listener;
mod message;
mod pool;
mod relay;
mod settings;
mod stream;

pub use client::{PeerClient, PeerCommand};
pub use error::PeerError;
pub use listener::{ListenerHandle, PeerChannels, start_listener};
pub use message::{IncomingControl, PeerRequest, PeerResponse};
pub use pool::start_client;
pub use relay::{IncomingRelay, RelayCall, RelayReader, RelayWriter, RequestFrame};
pub use settings::PeerSettings;
pub use stream::BodyPart;

//! The tasks that send the node's messages to peers and upstreams.

mod exchanges;
mod peers;
mod upstreams;

pub use peers::{PeerExchange, PeersTask};
pub use upstreams::{UpstreamExchange, UpstreamsTask};

//! The room of upstreams for requests of the whole deployment.
//!
//! One daemon, the keeper, decides for a group of upstreams which requests of all daemons may be
//! sent, in which order. The others ask it for permits.
//! See [the design note](../../../../docs/design/hard-load.md).

mod election;
mod group;
mod keeper;
mod layout;
mod message;
mod queue;
mod target;

pub use election::{KeeperCandidate, KeeperElection};
pub use keeper::{Keeper, KeeperCounts, KeeperInput, KeeperOutput};
pub use layout::GroupLayout;
pub use message::{
    GroupId, KeeperDaemon, KeeperList, PermitAnswer, PermitId, PermitRefusal, PermitRequest,
    PermitReturn, PermitScope, RoomLoad, RoomMessage, UpstreamLoad,
};

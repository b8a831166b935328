//! Daemons in the roster, the membership list of the cluster.

use crate::{Incarnation, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The roster's record of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonInfo {
    /// Identifies one run of the daemon process; a restart gets a new incarnation.
    pub incarnation: Incarnation,
    /// The address of its peer listener.
    pub peer_address: SocketAddr,
    /// The availability zone of the daemon.
    pub zone: ZoneName,
}

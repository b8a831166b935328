//! Daemons of the roster.

use crate::{Incarnation, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A daemon as the roster lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonInfo {
    /// The life of the daemon; a restarted daemon has another one.
    pub incarnation: Incarnation,
    /// The address of its peer listener.
    pub peer_address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

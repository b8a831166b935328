//! The addresses of the other daemons.

use crate::store::DaemonRow;
use balsam_decide::keys::Leader;
use balsam_types::{DaemonName, Map};
use std::net::SocketAddr;

/// The daemons that the store names.
#[derive(Debug, Default)]
pub(crate) struct PeerBook {
    rows: Map<DaemonName, DaemonRow>,
}

impl PeerBook {
    /// Adds a daemon or its new life.
    pub(crate) fn put(&mut self, daemon: DaemonName, row: DaemonRow) {
        self.rows.insert(daemon, row);
    }

    /// Removes a daemon.
    pub(crate) fn remove(&mut self, daemon: &DaemonName) {
        self.rows.remove(daemon);
    }

    /// Returns the address of the giver, if it is known in this life.
    pub(crate) fn find(&self, leader: &Leader) -> Option<SocketAddr> {
        let row = self.rows.get(&leader.daemon)?;
        (row.incarnation == leader.incarnation).then_some(row.address)
    }

    /// Returns the addresses of all daemons but one.
    pub(crate) fn others(&self, me: &DaemonName) -> Vec<SocketAddr> {
        let others = self.rows.iter().filter(|(daemon, _)| *daemon != me);
        others.map(|(_, row)| row.address).collect()
    }

    /// Returns the number of daemons.
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }
}

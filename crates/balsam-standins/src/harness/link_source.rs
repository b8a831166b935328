//! Finds which process opened a connection.
//!
//! All processes of a test share the loopback address, so a proxy can tell the links of two
//! processes apart only by the owner of the connecting socket.

use actix_rt::task::spawn_blocking;
use std::fs;
use std::path::Path;
use std::sync::Arc;

/// Column of the local address in the kernel's list of sockets.
const LOCAL_COLUMN: usize = 1;
/// Column of the remote address.
const REMOTE_COLUMN: usize = 2;
/// Column of the socket's inode.
const INODE_COLUMN: usize = 9;

/// The two ports of a loopback connection, as the connecting process sees them.
///
/// The local port alone names no connection, since the system uses one port for connections to
/// several remote addresses at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LinkPorts {
    pub(super) local: u16,
    pub(super) remote: u16,
}

/// Finds the process that opened one connection.
#[derive(Clone, Debug)]
pub(super) struct LinkSource {
    ports: LinkPorts,
    inode: Option<Arc<str>>,
}

impl LinkSource {
    pub(super) const fn new(ports: LinkPorts) -> Self {
        Self { ports, inode: None }
    }

    /// Returns the process among `candidates` that holds the connecting socket.
    ///
    /// The kernel's list takes tens of milliseconds to read while it holds thousands of closed
    /// connections, so the search runs beside the thread that carries the links.
    pub(super) async fn find(&mut self, candidates: Vec<u32>) -> Option<u32> {
        if candidates.is_empty() {
            return None;
        }
        let ports = self.ports;
        let known = self.inode.clone();
        let search = move || {
            let inode = known.or_else(|| socket_inode(ports))?;
            let holds = |process: &u32| holds_socket(*process, &inode);
            let process = candidates.into_iter().find(holds);
            Some((inode, process))
        };
        let (inode, process) = spawn_blocking(search).await.ok()??;
        self.inode = Some(inode);
        process
    }
}

fn socket_inode(ports: LinkPorts) -> Option<Arc<str>> {
    let sockets = fs::read_to_string("/proc/net/tcp").ok()?;
    let local = format!(":{:04X}", ports.local);
    let remote = format!(":{:04X}", ports.remote);
    let mut candidates = sockets.lines().filter(|line| line.contains(&local));
    candidates.find_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let matches = columns.get(LOCAL_COLUMN)?.ends_with(&local)
            && columns.get(REMOTE_COLUMN)?.ends_with(&remote);
        let inode = columns.get(INODE_COLUMN)?;
        matches.then(|| Arc::from(*inode))
    })
}

fn holds_socket(process: u32, inode: &str) -> bool {
    let wanted = format!("socket:[{inode}]");
    let Ok(descriptors) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    descriptors
        .flatten()
        .filter_map(|descriptor| fs::read_link(descriptor.path()).ok())
        .any(|target| target == Path::new(&wanted))
}

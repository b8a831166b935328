//! Finds which process opened a connection.
//!
//! All processes of a test share the loopback address, so a proxy can tell the links of two
//! processes apart only by the owner of the connecting socket.

use std::fs;
use std::path::Path;

/// Column of the local address in the kernel's list of sockets.
const ADDRESS_COLUMN: usize = 1;
/// Column of the socket's inode.
const INODE_COLUMN: usize = 9;

/// Returns whether `process` holds the IPv4 socket with local port `port`.
pub(super) fn owns_port(process: u32, port: u16) -> bool {
    socket_inode(port).is_some_and(|inode| holds_socket(process, &inode))
}

fn socket_inode(port: u16) -> Option<String> {
    let sockets = fs::read_to_string("/proc/net/tcp").ok()?;
    let suffix = format!(":{port:04X}");
    sockets.lines().skip(1).find_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let local = columns.get(ADDRESS_COLUMN)?;
        let inode = columns.get(INODE_COLUMN)?;
        local.ends_with(&suffix).then(|| (*inode).to_owned())
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

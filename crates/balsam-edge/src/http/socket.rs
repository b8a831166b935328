//! Socket options by which dead connections are noticed.

use log::debug;
use socket2::{SockRef, TcpKeepalive};
use std::time::Duration;
use tokio::net::TcpStream;

/// How long a connection is silent before the peer is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// The time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which the connection counts as broken.
const PROBES_MAX: u32 = 2;

/// How long sent bytes may stay unacknowledged before the connection counts as broken.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(2_500);

/// Sets the options of a connection that this side opened.
///
/// A peer without power or behind a partition does not answer, and its connections hang without
/// these options.
pub(super) fn tune(socket: &TcpStream) {
    let reference = SockRef::from(socket);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES_MAX);
    let results = [
        socket.set_nodelay(true),
        reference.set_tcp_keepalive(&probes),
        reference.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX)),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        debug!("socket option not set: {error}");
    }
}

/// Closes a connection so that bytes still on their way to the peer are dropped.
pub(super) fn reset(socket: &TcpStream) {
    if let Err(error) = SockRef::from(socket).set_linger(Some(Duration::ZERO)) {
        debug!("connection closed without a reset: {error}");
    }
}

//! Socket options that detect dead connections.

use log::debug;
use socket2::{SockRef, TcpKeepalive};
use std::time::Duration;
use tokio::net::TcpStream;

/// How long a connection is silent before a keepalive probe is sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which the connection counts as broken.
const KEEPALIVE_RETRIES: u32 = 2;

/// How long sent bytes may stay unacknowledged before the connection counts as broken.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Size of the receive and send buffers of a socket where memory is limited. The system counts them
/// as memory of the process, and would let them grow to several megabytes each. This size carries
/// 200 Mbit/s at round-trip times of up to 2.5 ms.
const LIMITED_BUFFER_BYTES: usize = 64 << 10;

/// Sets the options of a connection that this process opened.
///
/// A peer that has lost power or is behind a network partition does not close its connections.
/// Without these options they would hang.
pub(super) fn set_options(socket: &TcpStream) {
    let sock_ref = SockRef::from(socket);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let results = [
        socket.set_nodelay(true),
        sock_ref.set_tcp_keepalive(&keepalive),
        sock_ref.set_tcp_user_timeout(Some(USER_TIMEOUT)),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        debug!("socket option not set: {error}");
    }
}

/// Makes the close of a connection reset it, which discards the bytes that the peer has not
/// received yet.
pub(super) fn reset(socket: &TcpStream) {
    if let Err(error) = SockRef::from(socket).set_linger(Some(Duration::ZERO)) {
        debug!("connection cannot be reset and is closed instead: {error}");
    }
}

/// Limits the buffers of a socket.
pub(crate) fn limit_buffers(socket: &TcpStream) {
    let sock_ref = SockRef::from(socket);
    let results = [
        sock_ref.set_recv_buffer_size(LIMITED_BUFFER_BYTES),
        sock_ref.set_send_buffer_size(LIMITED_BUFFER_BYTES),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        debug!("socket buffer not limited: {error}");
    }
}

//! A connection to an upstream.

use bytes::BytesMut;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::Instant;

/// The maximum idle time of a connection that is reused.
///
/// Servers close idle connections, commonly after 5 s, and a request that is sent during the close
/// is lost. Connections are therefore discarded well before.
const MAX_IDLE_AGE: Duration = Duration::from_secs(2);

/// A connection without an in-flight request.
#[derive(Debug)]
pub(crate) struct UpstreamConnection {
    pub(super) read: OwnedReadHalf,
    pub(super) write: OwnedWriteHalf,
    pub(super) buffer: BytesMut,
    address: SocketAddr,
    used_at: Instant,
}

impl UpstreamConnection {
    pub(super) async fn open(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        let (read, write) = socket.into_split();
        Ok(Self::build(read, write, BytesMut::new(), address))
    }

    /// Creates an idle connection from the parts of a completed exchange.
    pub(super) fn build(
        read: OwnedReadHalf,
        write: OwnedWriteHalf,
        buffer: BytesMut,
        address: SocketAddr,
    ) -> Self {
        Self {
            read,
            write,
            buffer,
            address,
            used_at: Instant::now(),
        }
    }

    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the connection's idle time is within [`MAX_IDLE_AGE`].
    pub(crate) fn is_fresh(&self) -> bool {
        self.used_at.elapsed() <= MAX_IDLE_AGE
    }

    /// Returns whether the connection can carry a new request to `address`.
    ///
    /// Unread bytes mean that the upstream sent data that no request asked for, so the connection
    /// must not be reused.
    pub(crate) fn is_reusable(&self, address: SocketAddr) -> bool {
        if self.address != address || !self.is_fresh() || !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0];
        let read = self.read.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

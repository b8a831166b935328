//! One connection to an upstream.

use bytes::BytesMut;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::Instant;

/// How long a connection may be idle and still be used again.
///
/// Servers close idle connections, commonly after 5 s; a request that meets the close is lost, so
/// that connections are given up well before.
const IDLE_MAX: Duration = Duration::from_secs(2);

/// A connection without a request in flight.
#[derive(Debug)]
pub(crate) struct UpstreamConnection {
    pub(super) read: OwnedReadHalf,
    pub(super) write: OwnedWriteHalf,
    pub(super) buffer: BytesMut,
    address: SocketAddr,
    used_at: Instant,
}

impl UpstreamConnection {
    /// Opens a connection.
    pub(super) async fn open(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        let (read, write) = socket.into_split();
        Ok(Self::of(read, write, BytesMut::new(), address))
    }

    /// Makes a connection of its halves after an exchange.
    pub(super) fn of(
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

    /// Returns the upstream's address.
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the connection has not been idle for too long.
    pub(crate) fn is_fresh(&self) -> bool {
        self.used_at.elapsed() <= IDLE_MAX
    }

    /// Returns whether a request may be sent to `address` on this connection.
    ///
    /// A connection with unread bytes belongs to an answer that no request asked for.
    pub(crate) fn is_reusable(&self, address: SocketAddr) -> bool {
        if self.address != address || !self.is_fresh() || !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0];
        let read = self.read.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

//! Carries the bytes of one connection of a fault proxy.

use bytes::Bytes;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks under delay in one direction; the sender waits when the link holds as many.
const CHUNKS: usize = 256;

/// A direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the side that connects to the side that listens.
    ToTarget,
    /// From the side that listens to the side that connects.
    ToClient,
}

/// What a link does with the bytes it carries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// The link carries bytes both ways.
    #[default]
    Open,
    /// Connections are closed, and new ones are closed at once.
    Cut,
    /// Connections stay open, and bytes in both directions are dropped.
    HalfOpen,
    /// Connections stay open, and bytes in one direction are dropped.
    OneWay {
        /// The direction whose bytes are dropped.
        dropped: Direction,
    },
}

/// The faults of one link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaults {
    /// What the link does with its bytes.
    pub mode: LinkMode,
    /// Delay in each direction, in milliseconds.
    pub delay_ms: u64,
}

impl LinkFaults {
    fn drops(&self, direction: Direction) -> bool {
        match self.mode {
            LinkMode::Open => false,
            LinkMode::Cut | LinkMode::HalfOpen => true,
            LinkMode::OneWay { dropped } => dropped == direction,
        }
    }
}

#[derive(Debug)]
struct Delayed {
    due: Instant,
    bytes: Bytes,
}

/// Carries bytes one way until the reader ends or the connection must be closed.
pub(super) async fn pump<R, W>(
    reader: R,
    writer: W,
    direction: Direction,
    faults: watch::Receiver<LinkFaults>,
    carried_bytes: watch::Sender<u64>,
) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let (chunks, delayed) = mpsc::channel(CHUNKS);
    let receiving = receive(reader, chunks, direction, faults, carried_bytes);
    tokio::try_join!(receiving, deliver(writer, delayed))?;
    Ok(())
}

async fn receive<R: AsyncRead + Unpin>(
    mut reader: R,
    chunks: mpsc::Sender<Delayed>,
    direction: Direction,
    mut faults: watch::Receiver<LinkFaults>,
    carried_bytes: watch::Sender<u64>,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut lost_bytes = false;
    loop {
        let read = tokio::select! {
            read = reader.read(&mut buffer) => read?,
            changed = faults.changed() => {
                let open = changed.is_err() || !faults.borrow().drops(direction);
                if lost_bytes && open {
                    // The stream has a gap, which must not be carried on as if it were whole.
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                if changed.is_err() {
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
                continue;
            }
        };
        if read == 0 {
            return Ok(());
        }
        carried_bytes.send_modify(|carried| *carried += read as u64);
        let current = *faults.borrow();
        if current.drops(direction) {
            lost_bytes = true;
            continue;
        }
        let delayed = Delayed {
            due: Instant::now() + Duration::from_millis(current.delay_ms),
            bytes: Bytes::copy_from_slice(&buffer[..read]),
        };
        if chunks.send(delayed).await.is_err() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
    }
}

async fn deliver<W: AsyncWrite + Unpin>(
    mut writer: W,
    mut delayed: mpsc::Receiver<Delayed>,
) -> io::Result<()> {
    while let Some(Delayed { due, bytes }) = delayed.recv().await {
        // The timer rounds up to its next step of 1 ms even if the time has come.
        if due > Instant::now() {
            sleep_until(due).await;
        }
        writer.write_all(&bytes).await?;
    }
    writer.shutdown().await
}

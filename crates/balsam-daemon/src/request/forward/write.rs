//! Writes to upstreams. The permit is checked immediately before each write.

use super::http1::{Framing, encode_chunk};
use super::permit::{Blocked, SendPermit};
use crate::peer::BodyPart;
use crate::request::message::RequestBody;
use bytes::Bytes;
use std::io;
use tokio::net::tcp::OwnedWriteHalf;

/// The result of the first write of a request.
#[derive(Debug)]
pub(super) enum FirstWrite {
    /// At least one byte was written to the socket. Holds the unwritten bytes.
    Sent(Bytes),
    /// Nothing was written, because the permit no longer allows it.
    Blocked(Blocked),
    /// Nothing was written, because the connection is closed.
    Closed,
}

/// Writes the first bytes of a request, or returns why nothing was written.
pub(super) async fn write_first(
    write: &OwnedWriteHalf,
    permit: &SendPermit,
    mut bytes: Bytes,
) -> FirstWrite {
    loop {
        if write.writable().await.is_err() {
            return FirstWrite::Closed;
        }
        if let Err(blocked) = permit.check() {
            return FirstWrite::Blocked(blocked);
        }
        match write.try_write(&bytes) {
            Ok(0) => return FirstWrite::Closed,
            Ok(written_bytes) => {
                let _sent = bytes.split_to(written_bytes);
                return FirstWrite::Sent(bytes);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return FirstWrite::Closed,
        }
    }
}

/// Writes the rest of a request. Returns the write half only if the request is complete.
pub(super) async fn write_rest(
    write: OwnedWriteHalf,
    permit: SendPermit,
    rest: Bytes,
    body: RequestBody,
    framing: Framing,
) -> Option<OwnedWriteHalf> {
    write_all(&write, &permit, rest).await?;
    let RequestBody::Stream(mut parts) = body else {
        return Some(write);
    };
    let mut left_bytes = match framing {
        Framing::Length(length_bytes) => Some(length_bytes),
        Framing::Chunked | Framing::None => None,
    };
    loop {
        // A body channel that closes without an end marker leaves the request incomplete.
        match (parts.recv().await?, &mut left_bytes) {
            (BodyPart::Chunk(bytes), _) if bytes.is_empty() => {}
            (BodyPart::Chunk(bytes), Some(left_bytes)) => {
                *left_bytes = left_bytes.checked_sub(bytes.len() as u64)?;
                write_all(&write, &permit, bytes).await?;
            }
            (BodyPart::Chunk(bytes), None) => {
                write_all(&write, &permit, encode_chunk(&bytes)).await?;
            }
            (BodyPart::End, Some(left_bytes)) => return (*left_bytes == 0).then_some(write),
            (BodyPart::End, None) => {
                write_all(&write, &permit, encode_chunk(&Bytes::new())).await?;
                return Some(write);
            }
        }
    }
}

async fn write_all(write: &OwnedWriteHalf, permit: &SendPermit, mut bytes: Bytes) -> Option<()> {
    while !bytes.is_empty() {
        write.writable().await.ok()?;
        permit.wait(SendPermit::check_in_progress).await.ok()?;
        match write.try_write(&bytes) {
            Ok(0) => return None,
            Ok(written_bytes) => drop(bytes.split_to(written_bytes)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return None,
        }
    }
    Some(())
}

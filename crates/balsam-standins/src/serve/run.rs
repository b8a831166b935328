//! What the stand-ins' binaries have in common.

use super::ServerHandle;
use actix_rt::signal::unix::{SignalKind, signal};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use std::io::{self, Write};
use std::net::SocketAddr;

/// Why a stand-in could not run.
#[derive(Debug, Snafu)]
pub enum StandinError {
    /// The listener could not be opened.
    #[snafu(display("listen on {address}: {source}"))]
    Listen {
        /// The wanted address.
        address: SocketAddr,
        /// What failed.
        source: io::Error,
    },
    /// The address could not be printed.
    #[snafu(display("print the address: {source}"))]
    Announce {
        /// What failed.
        source: io::Error,
    },
    /// The signal handler could not be set.
    #[snafu(display("wait for SIGTERM: {source}"))]
    Signal {
        /// What failed.
        source: io::Error,
    },
}

/// The line that a stand-in prints once it listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The bound address.
    pub address: SocketAddr,
}

/// Prints the bound address as one JSON line, for the process that started this one.
///
/// # Errors
///
/// Returns an error if standard output is closed.
pub fn announce(address: SocketAddr) -> Result<(), StandinError> {
    let line = serde_json::to_string(&Announcement { address })
        .map_err(io::Error::from)
        .context(AnnounceSnafu)?;
    let mut out = io::stdout().lock();
    writeln!(out, "{line}").context(AnnounceSnafu)?;
    out.flush().context(AnnounceSnafu)
}

/// Announces `server` and serves until SIGTERM.
///
/// # Errors
///
/// Returns an error if the address cannot be printed or the signal cannot be awaited.
pub async fn run_until_terminated(server: ServerHandle) -> Result<(), StandinError> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    announce(server.address())?;
    terminate.recv().await;
    server.stop().await;
    Ok(())
}

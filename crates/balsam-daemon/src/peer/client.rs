//! The handle with which other tasks send requests to peers.

use super::error::{BusySnafu, DeadlineSnafu, PeerError, StoppedSnafu};
use super::{PeerRequest, PeerResponse, RelayCall};
use snafu::OptionExt;
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

/// A message to the peer tasks.
#[derive(Debug)]
pub enum PeerCommand {
    /// Sends a control request and returns the peer's response.
    Call {
        /// The peer's address.
        to: SocketAddr,
        /// The request.
        request: PeerRequest,
        /// When the caller stops waiting for the result.
        deadline: Instant,
        /// Receives the result.
        reply: oneshot::Sender<Result<PeerResponse, PeerError>>,
    },
    /// Opens a stream for a relayed request.
    Relay {
        /// The peer's address.
        to: SocketAddr,
        /// When the caller stops waiting for the result.
        deadline: Instant,
        /// Receives the open stream.
        reply: oneshot::Sender<Result<RelayCall, PeerError>>,
    },
}

impl PeerCommand {
    /// Returns the peer's address.
    pub const fn to(&self) -> SocketAddr {
        match self {
            Self::Call { to, .. } | Self::Relay { to, .. } => *to,
        }
    }

    /// Sends `error` as the result of the command.
    pub(super) fn fail(self, error: PeerError) {
        // Sending fails if the caller has stopped waiting.
        match self {
            Self::Call { reply, .. } => drop(reply.send(Err(error))),
            Self::Relay { reply, .. } => drop(reply.send(Err(error))),
        }
    }
}

/// A handle that sends messages to the peer tasks; it is cheap to clone.
#[derive(Clone, Debug)]
pub struct PeerClient {
    commands: mpsc::Sender<PeerCommand>,
}

impl PeerClient {
    /// Creates a handle that sends to `commands`.
    pub const fn new(commands: mpsc::Sender<PeerCommand>) -> Self {
        Self { commands }
    }

    /// Sends a control request to the peer at `to` and waits for the response.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] if the peer cannot be reached, does not respond before `deadline` or
    /// refuses the request, or if its response is invalid.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        deadline: Instant,
    ) -> Result<PeerResponse, PeerError> {
        let (reply, receiver) = oneshot::channel();
        let command = PeerCommand::Call {
            to,
            request,
            deadline,
            reply,
        };
        self.try_submit(command)?;
        await_reply(to, deadline, receiver).await
    }

    /// Opens a stream for a relayed request to the dispatcher at `to`; nothing is sent yet.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] if the peer cannot be reached before `deadline`.
    pub async fn relay(&self, to: SocketAddr, deadline: Instant) -> Result<RelayCall, PeerError> {
        let (reply, receiver) = oneshot::channel();
        let command = PeerCommand::Relay {
            to,
            deadline,
            reply,
        };
        self.try_submit(command)?;
        await_reply(to, deadline, receiver).await
    }

    fn try_submit(&self, command: PeerCommand) -> Result<(), PeerError> {
        use mpsc::error::TrySendError;
        let address = command.to();
        match self.commands.try_send(command) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_)) => BusySnafu { address }.fail(),
            Err(TrySendError::Closed(_)) => StoppedSnafu.fail(),
        }
    }
}

async fn await_reply<T>(
    address: SocketAddr,
    deadline: Instant,
    receiver: oneshot::Receiver<Result<T, PeerError>>,
) -> Result<T, PeerError> {
    match timeout_at(deadline, receiver).await {
        Ok(result) => result.ok().context(StoppedSnafu)?,
        Err(_) => DeadlineSnafu { address }.fail(),
    }
}

//! The handle through which other tasks call peers.

use super::error::{BusySnafu, DeadlineSnafu, PeerError, StoppedSnafu};
use super::{PeerRequest, PeerResponse, RelayCall};
use snafu::OptionExt;
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

/// A message to the peer tasks.
#[derive(Debug)]
pub enum PeerCommand {
    /// Sends a control request and answers with the peer's response.
    Call {
        /// The peer's address.
        to: SocketAddr,
        /// The request.
        request: PeerRequest,
        /// When the caller stops waiting.
        deadline: Instant,
        /// Where the result goes.
        reply: oneshot::Sender<Result<PeerResponse, PeerError>>,
    },
    /// Opens a stream for a relayed request.
    Relay {
        /// The peer's address.
        to: SocketAddr,
        /// When the caller stops waiting.
        deadline: Instant,
        /// Where the stream goes.
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

    /// Answers the command with a failure.
    pub(super) fn fail(self, error: PeerError) {
        // The caller may have stopped waiting.
        match self {
            Self::Call { reply, .. } => drop(reply.send(Err(error))),
            Self::Relay { reply, .. } => drop(reply.send(Err(error))),
        }
    }
}

/// A cheap handle that sends messages to the peer tasks.
#[derive(Clone, Debug)]
pub struct PeerClient {
    commands: mpsc::Sender<PeerCommand>,
}

impl PeerClient {
    /// Makes a handle that sends to `commands`.
    pub const fn new(commands: mpsc::Sender<PeerCommand>) -> Self {
        Self { commands }
    }

    /// Sends a control request to the peer at `to` and waits for the answer.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] if the peer cannot be reached, does not answer before `deadline` or
    /// refuses the request.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        deadline: Instant,
    ) -> Result<PeerResponse, PeerError> {
        let (reply, answer) = oneshot::channel();
        let command = PeerCommand::Call {
            to,
            request,
            deadline,
            reply,
        };
        self.submit(command)?;
        await_answer(to, deadline, answer).await
    }

    /// Opens a stream for a relayed request to the dispatcher at `to`; nothing is sent yet.
    ///
    /// # Errors
    ///
    /// Returns a [`PeerError`] if the peer cannot be reached before `deadline`.
    pub async fn relay(&self, to: SocketAddr, deadline: Instant) -> Result<RelayCall, PeerError> {
        let (reply, answer) = oneshot::channel();
        let command = PeerCommand::Relay {
            to,
            deadline,
            reply,
        };
        self.submit(command)?;
        await_answer(to, deadline, answer).await
    }

    fn submit(&self, command: PeerCommand) -> Result<(), PeerError> {
        use mpsc::error::TrySendError;
        let address = command.to();
        match self.commands.try_send(command) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_)) => BusySnafu { address }.fail(),
            Err(TrySendError::Closed(_)) => StoppedSnafu.fail(),
        }
    }
}

async fn await_answer<T>(
    address: SocketAddr,
    deadline: Instant,
    answer: oneshot::Receiver<Result<T, PeerError>>,
) -> Result<T, PeerError> {
    match timeout_at(deadline, answer).await {
        Ok(result) => result.ok().context(StoppedSnafu)?,
        Err(_) => DeadlineSnafu { address }.fail(),
    }
}

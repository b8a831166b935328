//! The handle through which other tasks call peers.

use super::error::{BusySnafu, DeadlineSnafu, PeerError, StoppedSnafu};
use super::{PeerRequest, PeerResponse};
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
        self.submit(to, command)?;
        match timeout_at(deadline, answer).await {
            Ok(result) => result.ok().context(StoppedSnafu)?,
            Err(_) => DeadlineSnafu { address: to }.fail(),
        }
    }

    fn submit(&self, to: SocketAddr, command: PeerCommand) -> Result<(), PeerError> {
        use mpsc::error::TrySendError;
        match self.commands.try_send(command) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_)) => BusySnafu { address: to }.fail(),
            Err(TrySendError::Closed(_)) => StoppedSnafu.fail(),
        }
    }
}

//! The task that owns the socket for datagrams between daemons.

use super::message::{DATAGRAM_MAX_BYTES, decode, encode};
use super::{PeerMessage, PeerOutput};
use crate::clock::now;
use crate::control::ControlInput;
use crate::metrics::EdgeMetrics;
use crate::room::RoomChannels;
use balsam_decide::peers::{SuspensionGuard, relay_groups};
use balsam_types::KeyHash;
use log::{debug, warn};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

/// Sends and receives the datagrams.
#[derive(Debug)]
pub(crate) struct PeerTask {
    socket: UdpSocket,
    address: SocketAddr,
    credential: u64,
    suspension_guard: SuspensionGuard,
    control: mpsc::Sender<ControlInput>,
    room: RoomChannels,
    metrics: EdgeMetrics,
}

/// A bound socket that has not been handed to its task yet.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: std::net::UdpSocket,
    address: SocketAddr,
}

impl PeerSocket {
    /// Binds a socket. With port 0 the system chooses the port.
    pub(crate) fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let address = socket.local_addr()?;
        Ok(Self { socket, address })
    }

    /// Returns the address, with the port that the system has chosen.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl PeerTask {
    /// Creates the task of a bound socket. Must be called on the runtime on which the task will
    /// run.
    pub(crate) fn new(
        bound: PeerSocket,
        credential: &str,
        control: mpsc::Sender<ControlInput>,
        room: RoomChannels,
        metrics: EdgeMetrics,
    ) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::from_std(bound.socket)?,
            address: bound.address,
            suspension_guard: SuspensionGuard::new(now()),
            credential: KeyHash::of(credential).0,
            control,
            room,
            metrics,
        })
    }

    /// Runs until the control task closes the channel.
    pub(crate) async fn run(mut self, mut outputs: mpsc::Receiver<PeerOutput>) {
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        let mut ticks = interval(Duration::from_millis(SuspensionGuard::INTERVAL_MS));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.suspension_guard.record_run(now()),
                output = outputs.recv() => match output {
                    Some(output) => self.send(output).await,
                    None => return,
                },
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(&buffer[..length], from).await,
                    Err(error) => debug!("peer socket: receive failed: {error}"),
                },
            }
        }
    }

    async fn send(&self, output: PeerOutput) {
        let PeerOutput {
            targets,
            relays,
            message,
        } = output;
        let Some(groups) = relay_groups(now(), &targets, &relays) else {
            return self.send_to_all(&targets, message).await;
        };
        for group in groups {
            let message = PeerMessage::Relay {
                origin: self.address,
                receivers: group.receivers,
                message: Box::new(message.clone()),
            };
            self.send_to_all(&[group.relay], message).await;
        }
    }

    async fn send_to_all(&self, targets: &[SocketAddr], message: PeerMessage) {
        let bytes = match encode(self.credential, message) {
            Ok(bytes) => bytes,
            Err(error) => return warn!("datagram not sent, cannot encode it: {error}"),
        };
        for target in targets {
            if let Err(error) = self.socket.send_to(&bytes, target).await {
                debug!("datagram to {target} not sent: {error}");
            }
        }
    }

    /// Passes a datagram to the control task, and on to the daemons that it is also meant for.
    async fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        let message = match decode(self.credential, bytes) {
            Ok(Some(message)) => message,
            Ok(None) => return warn!("datagram from {from} dropped: wrong credential"),
            Err(error) => return warn!("datagram from {from} dropped: {error}"),
        };
        let (from, message) = match message {
            PeerMessage::Relay {
                origin,
                receivers,
                message,
            } => {
                if matches!(*message, PeerMessage::Relay { .. }) {
                    return warn!("datagram from {from} dropped: it was passed on twice");
                }
                let may_pass_on = self.suspension_guard.may_pass_on(now());
                if !receivers.is_empty() && may_pass_on {
                    let passed_on = PeerMessage::Relay {
                        origin,
                        receivers: Vec::new(),
                        message: message.clone(),
                    };
                    self.send_to_all(&receivers, passed_on).await;
                }
                (origin, *message)
            }
            message => (from, message),
        };
        if let PeerMessage::Room(message) = message {
            if !self.room.deliver(from, message) {
                self.metrics.peer_message_dropped("room");
            }
            return;
        }
        let input = ControlInput::Peer { from, message };
        // If the control task is busy, the message is dropped: messages between daemons are
        // repeated.
        if self.control.try_send(input).is_err() {
            self.metrics.peer_message_dropped("in");
        }
    }
}

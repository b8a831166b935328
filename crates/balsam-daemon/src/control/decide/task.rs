//! The control task, which runs the node's state machine.

use super::waiting::{PendingRequests, ReplySender};
use super::{ControlInput, OutputChannels};
use crate::control::apply::{DecisionLine, Publisher};
use crate::control::distribute::{PeerExchange, UpstreamExchange};
use crate::control::edge::{Clock, ControlExchange};
use crate::logging;
use crate::peer::{IncomingControl, PeerRequest, PeerResponse};
use balsam_decide::node::{Node, NodeInput, NodeOutput};
use balsam_types::timing::HEARTBEAT_INTERVAL_MS;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};

/// The interval of the node's ticks, a fifth of the heartbeat interval.
const TICK_INTERVAL: Duration = Duration::from_millis(HEARTBEAT_INTERVAL_MS / 5);

/// The channels from which the control task receives its inputs.
#[derive(Debug)]
pub struct ControlReceivers {
    /// Results of exchanges, reports and operator commands.
    pub inputs: mpsc::Receiver<ControlInput>,
    /// Control requests from peers.
    pub peers: mpsc::Receiver<IncomingControl>,
}

/// Owns the node, which makes every decision of the control path.
#[derive(Debug)]
pub struct ControlTask<C> {
    node: Node,
    clock: C,
    receivers: ControlReceivers,
    channels: OutputChannels,
    publisher: Publisher,
    pending: PendingRequests,
    left_roster: Option<oneshot::Sender<()>>,
}

impl<C: Clock> ControlTask<C> {
    /// Creates the task, which signals `left_roster` when the daemon has left the roster.
    pub fn new(
        node: Node,
        clock: C,
        receivers: ControlReceivers,
        channels: OutputChannels,
        publisher: Publisher,
        left_roster: oneshot::Sender<()>,
    ) -> Self {
        Self {
            node,
            clock,
            receivers,
            channels,
            publisher,
            pending: PendingRequests::new(),
            left_roster: Some(left_roster),
        }
    }

    /// Runs until all senders of inputs are dropped.
    pub async fn run(mut self) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let input = tokio::select! {
                _ = ticks.tick() => NodeInput::Tick,
                Some(incoming) = self.receivers.peers.recv() => self.register_peer_request(incoming),
                input = self.receivers.inputs.recv() => match input {
                    Some(input) => self.register(input),
                    None => return,
                },
            };
            self.handle(input);
        }
    }

    fn register(&mut self, input: ControlInput) -> NodeInput {
        match input {
            ControlInput::Node(input) => input,
            ControlInput::Command { command, reply } => {
                let request = match reply {
                    Some(reply) => self.pending.add(ReplySender::Command(reply)),
                    None => self.pending.allocate_id(),
                };
                NodeInput::Command { request, command }
            }
        }
    }

    fn register_peer_request(&mut self, incoming: IncomingControl) -> NodeInput {
        let request = self.pending.add(ReplySender::Peer(incoming.reply));
        match incoming.request {
            PeerRequest::Heartbeat(heartbeat) => NodeInput::Heartbeat { request, heartbeat },
            PeerRequest::Changes { after } => NodeInput::ChangesRequested { request, after },
        }
    }

    /// Passes `input` to the node and executes the outputs.
    ///
    /// If an output fails at once, its failure is passed to the node as a further input.
    fn handle(&mut self, input: NodeInput) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let now = self.clock.now();
            for output in self.node.handle(now, input) {
                inputs.extend(self.execute(output));
            }
        }
    }

    /// Executes `output`, and returns an input for the node if the output failed at once.
    fn execute(&mut self, output: NodeOutput) -> Option<NodeInput> {
        let now = self.clock.now();
        match output {
            NodeOutput::ReadTable { after } => {
                let exchange = ControlExchange::ReadTable { after };
                return self.channels.send_to_platform(now, exchange);
            }
            NodeOutput::ReadInstances => {
                let exchange = ControlExchange::ReadInstances;
                return self.channels.send_to_platform(now, exchange);
            }
            NodeOutput::Commit { entry, give_up_at } => {
                let exchange = ControlExchange::Commit { entry, give_up_at };
                return self.channels.send_to_platform(now, exchange);
            }
            NodeOutput::WriteSnapshot(state) => {
                let exchange = ControlExchange::WriteSnapshot(state);
                return self.channels.send_to_platform(now, exchange);
            }
            NodeOutput::SendGrant {
                upstream,
                address,
                lease_until,
                grant,
            } => {
                let exchange = UpstreamExchange::Grant {
                    upstream,
                    address,
                    lease_until,
                    grant,
                };
                return self.channels.send_to_upstreams(now, exchange);
            }
            NodeOutput::SendRevoke {
                upstream,
                address,
                revoke,
            } => {
                let exchange = UpstreamExchange::Revoke {
                    upstream,
                    address,
                    revoke,
                };
                return self.channels.send_to_upstreams(now, exchange);
            }
            NodeOutput::SendHeartbeat { to, heartbeat } => {
                self.channels
                    .send_to_peers(PeerExchange::Heartbeat { to, heartbeat });
            }
            NodeOutput::FetchChanges { from, after } => {
                self.channels
                    .send_to_peers(PeerExchange::Changes { from, after });
            }
            NodeOutput::AnswerHeartbeat { request, reply } => {
                self.pending
                    .answer_peer(request, PeerResponse::Heartbeat(reply));
            }
            NodeOutput::AnswerChanges { request, body } => {
                self.pending
                    .answer_peer(request, PeerResponse::Changes(body));
            }
            NodeOutput::AnswerCommand { request, result } => {
                self.pending.answer_command(request, result);
            }
            NodeOutput::Publish(view) => self.publisher.publish(view),
            NodeOutput::Log(decision) => logging::decision(&DecisionLine::from(decision)),
            NodeOutput::Left => {
                if let Some(left_roster) = self.left_roster.take() {
                    // Sending fails if the daemon has already stopped waiting for the signal.
                    let _ = left_roster.send(());
                }
            }
        }
        None
    }
}

//! The control task.

use super::waiting::{Waiter, Waiting};
use super::{ControlInput, Routes};
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

/// The period of the node's ticks.
const TICK: Duration = Duration::from_millis(HEARTBEAT_INTERVAL_MS / 5);

/// Where the control task's inputs come from.
#[derive(Debug)]
pub struct ControlSources {
    /// Results of exchanges and commands.
    pub inputs: mpsc::Receiver<ControlInput>,
    /// Control requests of peers.
    pub peers: mpsc::Receiver<IncomingControl>,
}

/// Owns the node; every decision of the control path is taken here.
#[derive(Debug)]
pub struct ControlTask<C> {
    node: Node,
    clock: C,
    sources: ControlSources,
    routes: Routes,
    publisher: Publisher,
    waiting: Waiting,
    left: Option<oneshot::Sender<()>>,
}

impl<C: Clock> ControlTask<C> {
    /// Makes the task; `left` is told when the daemon has left the roster.
    pub fn new(
        node: Node,
        clock: C,
        sources: ControlSources,
        routes: Routes,
        publisher: Publisher,
        left: oneshot::Sender<()>,
    ) -> Self {
        Self {
            node,
            clock,
            sources,
            routes,
            publisher,
            waiting: Waiting::new(),
            left: Some(left),
        }
    }

    /// Runs until all senders of inputs are gone.
    pub async fn run(mut self) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let input = tokio::select! {
                _ = ticks.tick() => NodeInput::Tick,
                Some(incoming) = self.sources.peers.recv() => self.identify_peer_request(incoming),
                input = self.sources.inputs.recv() => match input {
                    Some(input) => self.identify(input),
                    None => return,
                },
            };
            self.handle(input);
        }
    }

    fn identify(&mut self, input: ControlInput) -> NodeInput {
        match input {
            ControlInput::Node(input) => input,
            ControlInput::Command { command, reply } => {
                let request = match reply {
                    Some(reply) => self.waiting.add(Waiter::Command(reply)),
                    None => self.waiting.skip(),
                };
                NodeInput::Command { request, command }
            }
        }
    }

    fn identify_peer_request(&mut self, incoming: IncomingControl) -> NodeInput {
        let request = self.waiting.add(Waiter::Peer(incoming.reply));
        match incoming.request {
            PeerRequest::Heartbeat(heartbeat) => NodeInput::Heartbeat { request, heartbeat },
            PeerRequest::Changes { after } => NodeInput::ChangesRequested { request, after },
        }
    }

    /// Lets the node handle `input` and every failure that its outputs meet at once.
    fn handle(&mut self, input: NodeInput) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let now = self.clock.now();
            for output in self.node.handle(now, input) {
                inputs.extend(self.act(output));
            }
        }
    }

    /// Carries out `output`; returns what the node must know at once.
    fn act(&mut self, output: NodeOutput) -> Option<NodeInput> {
        let now = self.clock.now();
        match output {
            NodeOutput::ReadTable { after } => {
                let exchange = ControlExchange::ReadTable { after };
                return self.routes.to_platform(now, exchange);
            }
            NodeOutput::ReadInstances => {
                let exchange = ControlExchange::ReadInstances;
                return self.routes.to_platform(now, exchange);
            }
            NodeOutput::Commit { entry, give_up_at } => {
                let exchange = ControlExchange::Commit { entry, give_up_at };
                return self.routes.to_platform(now, exchange);
            }
            NodeOutput::WriteSnapshot(state) => {
                let exchange = ControlExchange::WriteSnapshot(state);
                return self.routes.to_platform(now, exchange);
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
                return self.routes.to_upstreams(now, exchange);
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
                return self.routes.to_upstreams(now, exchange);
            }
            NodeOutput::SendHeartbeat { to, heartbeat } => {
                self.routes
                    .to_peers(PeerExchange::Heartbeat { to, heartbeat });
            }
            NodeOutput::FetchChanges { from, after } => {
                self.routes.to_peers(PeerExchange::Changes { from, after });
            }
            NodeOutput::AnswerHeartbeat { request, reply } => {
                self.waiting
                    .answer_peer(request, PeerResponse::Heartbeat(reply));
            }
            NodeOutput::AnswerChanges { request, body } => {
                self.waiting
                    .answer_peer(request, PeerResponse::Changes(body));
            }
            NodeOutput::AnswerCommand { request, result } => {
                self.waiting.answer_command(request, result);
            }
            NodeOutput::Publish(view) => self.publisher.publish(view),
            NodeOutput::Log(decision) => logging::decision(&DecisionLine::from(decision)),
            NodeOutput::Left => {
                if let Some(left) = self.left.take() {
                    // The daemon's assembly waits for this unless it has given up already.
                    let _ = left.send(());
                }
            }
        }
        None
    }
}

//! The messages between daemons and to the control endpoints of upstreams.

use super::participants::{Host, upstream_name};
use super::world::{Caller, Event, PeerRequest, UpstreamAnswer, UpstreamCall, World};
use balsam_decide::node::{NodeInput, NodeOutput, RequestId};

/// The time-out of an exchange with an upstream, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 250;

impl World {
    /// Carries out an output that is a call to the table, a peer or an upstream.
    pub fn call(&mut self, caller: Caller, output: NodeOutput) {
        match output {
            NodeOutput::ReadTable { after } => self.read_table(caller, after),
            NodeOutput::ReadInstances => self.read_instances(caller),
            NodeOutput::Commit { entry, give_up_at } => {
                self.begin_commit(caller, &entry, give_up_at);
            }
            NodeOutput::SendHeartbeat { to, heartbeat } => {
                self.ask_peer(caller, to.address, PeerRequest::Heartbeat(heartbeat));
            }
            NodeOutput::FetchChanges { from, after } => {
                self.ask_peer(caller, from.address, PeerRequest::Changes(after));
            }
            NodeOutput::AnswerHeartbeat { request, reply } => {
                self.answer_peer(request, NodeInput::HeartbeatReply(reply));
            }
            NodeOutput::AnswerChanges { request, body } => {
                self.answer_peer(request, NodeInput::Changes(body));
            }
            NodeOutput::SendGrant {
                upstream,
                lease_until,
                grant,
                ..
            } => {
                let sent_at = self.nodes[caller.node].clock.at(self.t);
                let body = UpstreamCall::Grant {
                    sent_at,
                    lease_until,
                    grant,
                };
                if let Some(upstream) = self.upstream_named(&upstream) {
                    self.call_upstream(caller, upstream, body);
                }
            }
            NodeOutput::SendRevoke {
                upstream, revoke, ..
            } => {
                if let Some(upstream) = self.upstream_named(&upstream) {
                    self.call_upstream(caller, upstream, UpstreamCall::Revoke(revoke));
                }
            }
            other => panic!("{other:?} is not a call"),
        }
    }

    fn ask_peer(&mut self, caller: Caller, address: std::net::SocketAddr, request: PeerRequest) {
        let Some(peer) = self.node_at(address) else {
            return;
        };
        let event = Event::PeerRequest(peer, caller, Box::new(request));
        self.send(Host::Node(caller.node), Host::Node(peer), event, true);
    }

    pub fn peer_request(&mut self, node: usize, caller: Caller, request: PeerRequest) {
        let id = self.new_id();
        self.peer_requests.insert(id, (caller, node));
        let request_id = RequestId(id);
        let input = match request {
            PeerRequest::Heartbeat(heartbeat) => NodeInput::Heartbeat {
                request: request_id,
                heartbeat,
            },
            PeerRequest::Changes(after) => NodeInput::ChangesRequested {
                request: request_id,
                after,
            },
        };
        let boot_id = self.nodes[node].boot_id;
        self.input(Caller { node, boot_id }, input);
    }

    fn answer_peer(&mut self, request: RequestId, input: NodeInput) {
        let Some((caller, node)) = self.peer_requests.remove(&request.0) else {
            return;
        };
        let event = Event::Input(caller, Box::new(input));
        self.send(Host::Node(node), Host::Node(caller.node), event, true);
    }

    fn call_upstream(&mut self, caller: Caller, upstream: usize, body: UpstreamCall) {
        let call = self.new_id();
        self.open_calls.insert(call);
        let (from, to) = (Host::Node(caller.node), Host::Upstream(upstream));
        let arrives = Event::UpstreamArrives(upstream, caller, call, body.clone());
        self.send(from, to, arrives, true);
        let failed = Event::CallEnds(caller, call, upstream, body, None);
        self.after(CALL_TIMEOUT_MS, failed);
    }

    pub fn upstream_arrives(
        &mut self,
        upstream: usize,
        caller: Caller,
        call: u64,
        body: UpstreamCall,
    ) {
        let process = &mut self.upstreams[upstream];
        let now = process.clock.at(self.t);
        let answer = match &body {
            UpstreamCall::Grant { grant, .. } => {
                UpstreamAnswer::Grant(process.holder.grant(now, grant))
            }
            UpstreamCall::Revoke(revoke) => UpstreamAnswer::Revoke(process.holder.revoke(revoke)),
        };
        let ends = Event::CallEnds(caller, call, upstream, body, Some(answer));
        let (from, to) = (Host::Upstream(upstream), Host::Node(caller.node));
        self.send(from, to, ends, false);
    }

    pub fn call_ends(
        &mut self,
        caller: Caller,
        call: u64,
        upstream: usize,
        body: UpstreamCall,
        answer: Option<UpstreamAnswer>,
    ) {
        if !self.open_calls.remove(&call) {
            return;
        }
        let upstream = upstream_name(upstream);
        let input = match (body, answer) {
            (
                UpstreamCall::Grant {
                    sent_at,
                    lease_until,
                    grant,
                },
                answer,
            ) => NodeInput::GrantReply {
                upstream,
                sent_at,
                lease_until,
                grant,
                reply: match answer {
                    Some(UpstreamAnswer::Grant(reply)) => Some(reply),
                    _ => None,
                },
            },
            (UpstreamCall::Revoke(revoke), answer) => NodeInput::RevokeReply {
                upstream,
                epoch: revoke.epoch,
                units: revoke.units.iter().copied().collect(),
                reply: match answer {
                    Some(UpstreamAnswer::Revoke(reply)) => Some(reply),
                    _ => None,
                },
            },
        };
        self.input(caller, input);
    }
}

//! The control state machine of one daemon.

use super::commands::Commands;
use super::commits::Commits;
use super::leaving::Phase;
use super::log::RecentLog;
use super::table::TableReads;
use super::upstream_sessions::UpstreamSession;
use super::{Decision, NodeInput, NodeOutput, View};
use crate::control::ControlState;
use crate::lease::{AdoptionTracker, FreshnessLease, Safeguard};
use crate::membership::Membership;
use crate::placer::Placer;
use balsam_types::control::DaemonInfo;
use balsam_types::timing::SUSPECT_AFTER_MS;
use balsam_types::{Incarnation, Set, TimeMs, UpstreamName};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The gap between two inputs from which the daemon assumes that its own process was paused.
///
/// Ticks arrive every 50 ms. After a longer pause, silence of peers and upstreams proves nothing,
/// because messages may have arrived while this process did not run.
const PAUSE_THRESHOLD_MS: u64 = SUSPECT_AFTER_MS / 2;

/// Work that an input has made necessary.
#[derive(Clone, Copy, Debug)]
pub(super) struct Due {
    /// Whether to recompute the suspected daemons and the upstreams that this daemon serves or
    /// probes.
    pub(super) follow: bool,
    /// Whether to check for changes to commit and for revocations to send.
    pub(super) decide: bool,
}

/// The control decisions of one daemon.
///
/// It owns the control state, the freshness lease, the state of peers and upstreams and, while its
/// daemon is the placer, the moves of units. It does no I/O: see [`NodeInput`] and [`NodeOutput`].
#[derive(Debug)]
pub struct Node {
    pub(super) me: DaemonInfo,
    pub(super) state: Arc<ControlState>,
    pub(super) log: RecentLog,
    pub(super) lease: FreshnessLease,
    pub(super) membership: Membership,
    pub(super) adoption: AdoptionTracker,
    pub(super) placer: Placer,
    pub(super) upstreams: BTreeMap<UpstreamName, UpstreamSession>,
    pub(super) table: TableReads,
    pub(super) commits: Commits,
    pub(super) commands: Commands,
    pub(super) phase: Phase,
    pub(super) next_heartbeat_at: TimeMs,
    /// When the instance list is read next.
    pub(super) next_instances_at: TimeMs,
    /// Until when a request for changes counts as in flight, so that no other is sent.
    pub(super) fetching_until: TimeMs,
    /// When this process last resumed after a pause.
    pub(super) resumed_at: TimeMs,
    pub(super) published: Option<Arc<View>>,
    /// The daemons of the current roster that were suspected at the last tick or change.
    pub(super) suspected: Set<Incarnation>,
    pub(super) due: Due,
    /// Whether a newer lease was already requested because an upstream has restarted.
    pub(super) newer_lease_requested: bool,
    /// The safety rule that a test has disabled.
    pub(super) without: Option<Safeguard>,
    last_input_at: TimeMs,
    lease_logged: bool,
}

impl Node {
    /// Creates the node of the daemon `me` with an empty control state.
    ///
    /// `seed` makes its attempt ids differ from those of other daemons.
    pub fn new(me: DaemonInfo, seed: u64, now: TimeMs) -> Self {
        let incarnation = me.incarnation;
        Self {
            me,
            state: Arc::new(ControlState::new()),
            log: RecentLog::new(),
            lease: FreshnessLease::new(incarnation),
            membership: Membership::new(incarnation),
            adoption: AdoptionTracker::new(),
            placer: Placer::new(),
            upstreams: BTreeMap::new(),
            table: TableReads::new(now),
            commits: Commits::new(incarnation, seed),
            commands: Commands::new(),
            phase: Phase::Running,
            next_heartbeat_at: now,
            next_instances_at: now,
            fetching_until: now,
            resumed_at: now,
            published: None,
            suspected: Set::default(),
            due: Due {
                follow: true,
                decide: true,
            },
            newer_lease_requested: false,
            without: None,
            last_input_at: now,
            lease_logged: false,
        }
    }

    /// Disables a safety rule, so that tests can show that their checks detect its absence.
    #[must_use]
    pub fn without(mut self, safeguard: Safeguard) -> Self {
        self.lease = self.lease.without(safeguard);
        self.adoption = self.adoption.without(safeguard);
        self.placer = self.placer.without(safeguard);
        self.without = Some(safeguard);
        self
    }

    /// Returns the control state that the node has adopted.
    pub const fn state(&self) -> &Arc<ControlState> {
        &self.state
    }

    /// Handles one input and returns the resulting outputs in order.
    pub fn handle(&mut self, now: TimeMs, input: NodeInput) -> Vec<NodeOutput> {
        let mut out = Vec::new();
        if matches!(self.phase, Phase::Left) {
            return out;
        }
        self.detect_pause(now);
        self.take(now, input, &mut out);
        self.run_due_actions(now, &mut out);
        out
    }

    /// Applies one input to the state of the node.
    fn take(&mut self, now: TimeMs, input: NodeInput, out: &mut Vec<NodeOutput>) {
        match input {
            NodeInput::Tick => {
                self.due.decide = true;
                self.due.follow = true;
            }
            NodeInput::TableRead { started_at, result } => {
                self.table_read(now, started_at, result, out);
            }
            NodeInput::CommitDone { attempt, result } => {
                self.commit_done(now, attempt, result, out);
            }
            NodeInput::Heartbeat { request, heartbeat } => self.ack(now, request, heartbeat, out),
            NodeInput::HeartbeatReply(reply) => self.heartbeat_replied(now, reply, out),
            NodeInput::ChangesRequested { request, after } => {
                let body = self.log.after(after, &self.state);
                out.push(NodeOutput::AnswerChanges { request, body });
            }
            NodeInput::Changes(body) => self.changes(now, body, out),
            NodeInput::Instances(instances) => self.placer.set_instances(instances),
            NodeInput::GrantReply {
                upstream,
                sent_at,
                lease_until,
                grant,
                reply,
            } => self.grant_replied(now, &upstream, sent_at, lease_until, &grant, reply.as_ref()),
            NodeInput::RevokeReply {
                upstream,
                epoch,
                units,
                reply,
            } => {
                self.due.decide = true;
                self.placer
                    .handle_revoke_reply(now, upstream, epoch, units, reply);
            }
            NodeInput::Load(report) => self.set_load(report),
            NodeInput::Command { request, command } => self.command(now, request, command, out),
            NodeInput::PeerReplaced {
                address,
                incarnation,
            } => self.peer_replaced(address, incarnation),
            NodeInput::Stop => self.stop(now),
        }
    }

    /// Performs the work that is due after an input.
    fn run_due_actions(&mut self, now: TimeMs, out: &mut Vec<NodeOutput>) {
        if std::mem::take(&mut self.due.follow) {
            self.suspected = self.membership.suspected(now, &self.state);
            self.follow_upstreams(now);
        }
        self.read_table(now, out);
        self.read_instances(now, out);
        self.heartbeat(now, out);
        self.renew_grants(now, out);
        self.settle_commands(now, out);
        if std::mem::take(&mut self.due.decide) {
            self.revoke(now, out);
            self.begin_commit(now, out);
        }
        self.finish_leaving(now, out);
        self.log_lease(now, out);
        self.publish(now, out);
    }

    /// Re-evaluates which epoch a majority has adopted.
    pub(super) fn observe_adoption(&mut self, now: TimeMs) {
        let me = self.me.incarnation;
        let own_epoch = self.state.epoch;
        let membership = &self.membership;
        let epoch_of = |incarnation: &_| {
            if *incarnation == me {
                own_epoch
            } else {
                membership.epoch_of(incarnation)
            }
        };
        if self.adoption.observe(now, &self.state, epoch_of) {
            self.due.decide = true;
        }
    }

    /// Returns whether this daemon is in the roster of its adopted control state.
    pub(super) fn is_member(&self) -> bool {
        self.state.daemons.contains_key(&self.me.incarnation)
    }

    /// Returns whether this daemon is the placer in its adopted control state.
    pub(super) fn is_placer(&self) -> bool {
        self.state.placer == Some(self.me.incarnation)
    }

    /// Restarts all measurements of silence if this process was paused.
    fn detect_pause(&mut self, now: TimeMs) {
        if now.since(self.last_input_at) >= PAUSE_THRESHOLD_MS {
            self.resumed_at = now;
            self.membership.resume(now);
            for upstream in self.upstreams.values_mut() {
                upstream.issuer.resume(now);
            }
            self.placer.resume(now);
        }
        self.last_input_at = self.last_input_at.max(now);
    }

    fn log_lease(&mut self, now: TimeMs, out: &mut Vec<NodeOutput>) {
        let held = self.lease.is_held(now);
        if held != self.lease_logged {
            self.lease_logged = held;
            out.push(NodeOutput::Log(Decision::Right { held }));
        }
    }
}

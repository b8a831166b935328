//! The state of a schedule: participants, links and the queue of events.

use super::check::Checks;
use super::faults::Profile;
use super::participants::{
    Clock, DaemonProcess, Host, UpstreamProcess, node_address, upstream_name,
};
use super::table::Table;
use balsam_decide::grants::{Grant, GrantReply, HolderSafeguard, Revoke, RevokeReply};
use balsam_decide::lease::Safeguard;
use balsam_decide::node::{CommandResult, NodeInput, NodeOutput, RequestId};
use balsam_types::control::LogEntry;
use balsam_types::{Epoch, KeyHash, Map, Set, TimeMs, UnitId, UpstreamName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// The parameters of a schedule.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    pub seed: u64,
    pub profile: Profile,
    pub without: Option<Safeguard>,
    pub holder_without: Option<HolderSafeguard>,
}

/// A call to an upstream.
#[derive(Clone, Debug)]
pub enum UpstreamCall {
    Grant {
        sent_at: TimeMs,
        lease_until: TimeMs,
        grant: Box<Grant>,
    },
    Revoke(Revoke),
}

/// The answer of an upstream.
#[derive(Clone, Debug)]
pub enum UpstreamAnswer {
    Grant(GrantReply),
    Revoke(RevokeReply),
}

/// The sender of a call, with the incarnation of the process that sent it.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    pub node: usize,
    pub boot_id: u64,
}

/// An event that the simulation handles at its time.
#[derive(Clone, Debug)]
pub enum Event {
    Tick(Caller),
    Input(Caller, Box<NodeInput>),
    PeerRequest(usize, Caller, Box<PeerRequest>),
    TableRead(Caller, u64, Epoch, TimeMs),
    ReadEnds(Caller, u64, Box<NodeInput>),
    CommitArrives(Caller, Box<LogEntry>),
    CommitRetry(Caller, Box<LogEntry>, u64),
    UpstreamArrives(usize, Caller, u64, UpstreamCall),
    CallEnds(Caller, u64, usize, UpstreamCall, Option<UpstreamAnswer>),
    WorkArrives(usize, UnitId, KeyHash, Epoch),
    WorkEnds(usize, u64, u64),
    Request,
    Edit,
    Fault,
    Heal,
    Resume(Host, u64),
}

/// A message between daemons.
#[derive(Clone, Debug)]
pub enum PeerRequest {
    Heartbeat(balsam_decide::node::Heartbeat),
    Changes(Epoch),
}

#[derive(Debug)]
pub struct World {
    /// The true time since the start of the schedule, in milliseconds.
    pub t: u64,
    pub options: Options,
    pub rng: StdRng,
    pub nodes: Vec<DaemonProcess>,
    pub upstreams: Vec<UpstreamProcess>,
    pub table: Table,
    /// The network partition of each host; messages between partitions are lost.
    pub partition_ids: Map<Host, u8>,
    /// Pairs of hosts that cannot reach each other.
    pub cut_links: Set<(Host, Host)>,
    pub healed: bool,
    pub checks: Checks,
    pub queue: BTreeMap<(u64, u64), Event>,
    /// Events for frozen processes, handled when they resume.
    pub deferred_events: Map<Host, Vec<Event>>,
    pub peer_requests: Map<u64, (Caller, usize)>,
    pub open_calls: Set<u64>,
    pub next_id: u64,
    pub edits: u64,
    /// The answers to operator commands.
    pub answers: Map<RequestId, CommandResult>,
    /// Whether answers to writes may be lost after the writes took effect.
    pub lose_write_answers: bool,
    /// Whether the instance list says that the upstreams check grants.
    pub checks_grants: bool,
    sequence: u64,
}

impl World {
    pub fn new(options: Options) -> Self {
        let mut world = Self {
            t: 0,
            options,
            rng: StdRng::seed_from_u64(options.seed),
            nodes: Vec::new(),
            upstreams: Vec::new(),
            table: Table::new(),
            partition_ids: Map::default(),
            cut_links: Set::default(),
            healed: false,
            checks: Checks::new(),
            queue: BTreeMap::new(),
            deferred_events: Map::default(),
            peer_requests: Map::default(),
            open_calls: Set::default(),
            next_id: 1,
            edits: 0,
            answers: Map::default(),
            lose_write_answers: false,
            checks_grants: true,
            sequence: 0,
        };
        for index in 0..options.profile.daemons() {
            let clock = world.random_clock();
            let boot_id = world.new_boot_id();
            let node = DaemonProcess::new(index, boot_id, clock, 0, options.without);
            world.nodes.push(node);
            world.start_ticks(index);
        }
        for _ in 0..options.profile.upstreams() {
            let clock = world.random_clock();
            let boot_id = world.new_boot_id();
            let process = UpstreamProcess::new(boot_id, clock, options.holder_without);
            world.upstreams.push(process);
        }
        world
    }

    pub fn new_boot_id(&mut self) -> u64 {
        self.rng.random_range(1..u64::MAX)
    }

    pub fn random_clock(&mut self) -> Clock {
        Clock {
            offset_ms: self.rng.random_range(10_000..1_000_000_000),
            rate_per_10_000: self.rng.random_range(-100..=100),
        }
    }

    pub fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    pub fn after(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.t + delay_ms, self.sequence), event);
    }

    pub fn start_ticks(&mut self, node: usize) {
        let boot_id = self.nodes[node].boot_id;
        let delay = self.rng.random_range(0..50);
        self.after(delay, Event::Tick(Caller { node, boot_id }));
    }

    /// Sends `event` over a link, where it may be lost, delayed or duplicated.
    pub fn send(&mut self, from: Host, to: Host, event: Event, may_duplicate: bool) {
        if !self.is_connected(from, to) || self.chance(self.loss_percent()) {
            return;
        }
        let duplicates = !self.healed && self.options.profile != Profile::Quiet;
        if may_duplicate && duplicates && self.chance(2) {
            let delay = self.delay();
            self.after(delay, event.clone());
        }
        let delay = self.delay();
        self.after(delay, event);
    }

    pub fn is_connected(&self, from: Host, to: Host) -> bool {
        let partition_id = |host| self.partition_ids.get(&host).copied().unwrap_or(0);
        let cut = self.cut_links.contains(&(from, to)) || self.cut_links.contains(&(to, from));
        partition_id(from) == partition_id(to) && !cut
    }

    pub fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn loss_percent(&self) -> u32 {
        if self.healed {
            return 0;
        }
        self.options.profile.loss_percent()
    }

    fn delay(&mut self) -> u64 {
        let late_percent = self.options.profile.late_percent();
        if !self.healed && self.chance(late_percent) {
            return self.rng.random_range(20..2_500);
        }
        self.rng.random_range(1..4)
    }

    pub fn is_frozen(&self, host: Host) -> bool {
        match host {
            Host::Node(node) => self.nodes[node].frozen,
            Host::Upstream(upstream) => self.upstreams[upstream].frozen,
            Host::Table => false,
        }
    }

    /// Handles all events up to `until` and checks the invariants after each.
    pub fn run_until(&mut self, until: u64) {
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > until || self.checks.violation.is_some() {
                break;
            }
            let event = entry.remove();
            self.t = at;
            self.handle(event);
        }
        self.t = until;
    }

    fn handle(&mut self, event: Event) {
        let host = event.host();
        if let Some(host) = host
            && self.is_frozen(host)
        {
            // A frozen process receives its messages when it resumes. Its ticks do not accumulate,
            // because each tick schedules the next one.
            self.deferred_events.entry(host).or_default().push(event);
            return;
        }
        match event {
            Event::Tick(caller) => {
                if self.is_alive(caller) {
                    self.after(50, Event::Tick(caller));
                    self.input(caller, NodeInput::Tick);
                }
            }
            Event::Input(caller, input) => self.input(caller, *input),
            Event::PeerRequest(node, caller, request) => self.peer_request(node, caller, *request),
            Event::TableRead(caller, call, after, started_at) => {
                self.table_read_arrives(caller, call, after, started_at);
            }
            Event::ReadEnds(caller, call, input) => self.read_ends(caller, call, *input),
            Event::CommitArrives(caller, entry) => self.commit_arrives(caller, &entry),
            Event::CommitRetry(caller, entry, until) => self.commit_retry(caller, &entry, until),
            Event::UpstreamArrives(upstream, caller, call, body) => {
                self.upstream_arrives(upstream, caller, call, body);
            }
            Event::CallEnds(caller, call, upstream, body, answer) => {
                self.call_ends(caller, call, upstream, body, answer);
            }
            Event::WorkArrives(upstream, unit, key, epoch) => {
                self.work_arrives(upstream, unit, key, epoch);
            }
            Event::WorkEnds(upstream, boot_id, work) => self.work_ends(upstream, boot_id, work),
            Event::Request => self.request(),
            Event::Edit => self.edit(),
            Event::Fault => self.fault(),
            Event::Heal => self.heal(),
            Event::Resume(host, boot_id) => self.resume(host, boot_id),
        }
        self.check(host);
    }

    pub fn is_alive(&self, caller: Caller) -> bool {
        let process = &self.nodes[caller.node];
        process.boot_id == caller.boot_id && process.node.is_some()
    }

    /// Passes one input to a node and carries out its outputs.
    pub fn input(&mut self, caller: Caller, input: NodeInput) {
        if !self.is_alive(caller) {
            return;
        }
        let process = &mut self.nodes[caller.node];
        let now = process.clock.at(self.t);
        let Some(node) = &mut process.node else {
            return;
        };
        let outputs = node.handle(now, input);
        for output in outputs {
            self.output(caller, output);
        }
    }

    pub fn node_at(&self, address: std::net::SocketAddr) -> Option<usize> {
        (0..self.nodes.len()).find(|index| node_address(*index) == address)
    }

    pub fn upstream_named(&self, name: &UpstreamName) -> Option<usize> {
        (0..self.upstreams.len()).find(|index| upstream_name(*index) == *name)
    }

    fn output(&mut self, caller: Caller, output: NodeOutput) {
        match output {
            NodeOutput::Publish(view) => {
                self.check_view(caller, &view);
                self.nodes[caller.node].view = Some(view);
            }
            NodeOutput::Left => {
                let process = &mut self.nodes[caller.node];
                process.node = None;
                process.view = None;
            }
            NodeOutput::AnswerCommand { request, result } => {
                self.command_answered(&result);
                self.answers.insert(request, result);
            }
            NodeOutput::WriteSnapshot(_) | NodeOutput::Log(_) => {}
            other => self.call(caller, other),
        }
    }
}

impl Event {
    /// Returns the process that must be running for the event to be handled.
    pub fn host(&self) -> Option<Host> {
        match self {
            Self::Tick(caller)
            | Self::Input(caller, _)
            | Self::ReadEnds(caller, ..)
            | Self::CommitRetry(caller, ..)
            | Self::CallEnds(caller, ..) => Some(Host::Node(caller.node)),
            Self::PeerRequest(node, ..) => Some(Host::Node(*node)),
            Self::UpstreamArrives(upstream, ..)
            | Self::WorkArrives(upstream, ..)
            | Self::WorkEnds(upstream, ..) => Some(Host::Upstream(*upstream)),
            Self::TableRead(..)
            | Self::CommitArrives(..)
            | Self::Request
            | Self::Edit
            | Self::Fault
            | Self::Heal
            | Self::Resume(..) => None,
        }
    }
}

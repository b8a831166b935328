//! Faults and the profiles that select them.

use super::participants::{Clock, DaemonProcess, Host, UpstreamProcess, upstream_name};
use super::world::{Caller, Event, World};
use balsam_decide::node::{NodeInput, OperatorCommand};
use balsam_types::Map;
use rand::RngExt;

/// The kinds of faults in a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// No faults except those that a test causes itself.
    Quiet,
    /// All faults.
    Mixed,
    /// Messages are often late.
    Late,
    /// Partitions that separate the table from most daemons.
    Partitions,
    /// Upstreams freeze, restart and are cut off while long requests run.
    Upstreams,
    /// Daemons restart, leave and join.
    Daemons,
    /// Upstreams are cut off in turn, for long enough that units return to a previous owner while
    /// requests run for several seconds.
    Returns,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Partition,
    CutTable,
    CutUpstream,
    FreezeNode,
    FreezeUpstream,
    RestartNode,
    RestartUpstream,
    StopNode,
    AddNode,
    TableDown,
    LeaveUpstream,
    CutNextUpstream,
    CutLink,
    OperatorDrain,
}

impl Profile {
    pub const fn daemons(self) -> usize {
        match self {
            Self::Upstreams | Self::Returns => 2,
            Self::Quiet => 5,
            Self::Mixed | Self::Late | Self::Partitions | Self::Daemons => 3,
        }
    }

    pub const fn upstreams(self) -> usize {
        match self {
            Self::Daemons | Self::Mixed | Self::Late | Self::Partitions | Self::Returns => 2,
            Self::Upstreams | Self::Quiet => 3,
        }
    }

    pub const fn loss_percent(self) -> u32 {
        match self {
            Self::Quiet => 0,
            Self::Mixed | Self::Daemons => 2,
            Self::Late => 5,
            Self::Partitions | Self::Upstreams | Self::Returns => 1,
        }
    }

    pub const fn late_percent(self) -> u32 {
        match self {
            Self::Quiet => 0,
            Self::Late => 10,
            Self::Mixed => 2,
            Self::Partitions | Self::Upstreams | Self::Daemons | Self::Returns => 1,
        }
    }

    pub const fn long_work_percent(self) -> u32 {
        match self {
            Self::Upstreams => 30,
            Self::Returns => 60,
            Self::Quiet => 0,
            Self::Mixed | Self::Late | Self::Partitions | Self::Daemons => 5,
        }
    }

    /// The maximum duration of a request, in milliseconds.
    pub const fn work_max_ms(self) -> u64 {
        match self {
            Self::Returns => 9_000,
            _ => 4_000,
        }
    }

    /// When all faults end, in milliseconds from the start.
    pub const fn heal_at_ms(self) -> u64 {
        match self {
            Self::Returns => 12_000,
            _ => 6_000,
        }
    }

    /// The time between two faults, in milliseconds.
    const fn fault_interval_ms(self) -> std::ops::Range<u64> {
        match self {
            Self::Returns => 2_500..3_500,
            _ => 200..1_200,
        }
    }

    const fn faults(self) -> &'static [Fault] {
        match self {
            Self::Mixed => &[
                Fault::Partition,
                Fault::CutTable,
                Fault::CutUpstream,
                Fault::FreezeNode,
                Fault::FreezeUpstream,
                Fault::RestartNode,
                Fault::RestartUpstream,
                Fault::StopNode,
                Fault::AddNode,
                Fault::TableDown,
                Fault::LeaveUpstream,
                Fault::CutLink,
                Fault::OperatorDrain,
            ],
            Self::Late => &[
                Fault::Partition,
                Fault::FreezeNode,
                Fault::CutUpstream,
                Fault::FreezeUpstream,
                Fault::LeaveUpstream,
            ],
            Self::Partitions => &[
                Fault::Partition,
                Fault::CutTable,
                Fault::CutTable,
                Fault::CutUpstream,
                Fault::CutLink,
                Fault::CutLink,
            ],
            Self::Upstreams => &[
                Fault::CutUpstream,
                Fault::FreezeUpstream,
                Fault::RestartUpstream,
                Fault::LeaveUpstream,
                Fault::CutUpstream,
                Fault::CutLink,
            ],
            Self::Daemons => &[
                Fault::RestartNode,
                Fault::StopNode,
                Fault::AddNode,
                Fault::FreezeNode,
                Fault::CutTable,
            ],
            Self::Returns => &[Fault::CutNextUpstream],
            Self::Quiet => &[],
        }
    }
}

impl World {
    pub fn fault(&mut self) {
        let delay_ms = self
            .rng
            .random_range(self.options.profile.fault_interval_ms());
        self.after(delay_ms, Event::Fault);
        let faults = self.options.profile.faults();
        let fault = faults[self.rng.random_range(0..faults.len())];
        let node = self.rng.random_range(0..self.nodes.len());
        let upstream = self.rng.random_range(0..self.upstreams.len());
        match fault {
            Fault::Partition => self.partition(),
            Fault::CutTable => self.cut_table(node, upstream),
            Fault::CutUpstream => self.cut(Host::Upstream(upstream)),
            Fault::FreezeNode => self.freeze(Host::Node(node)),
            Fault::FreezeUpstream => self.freeze(Host::Upstream(upstream)),
            Fault::RestartNode => self.restart_node(node),
            Fault::RestartUpstream => self.restart_upstream(upstream),
            Fault::StopNode => self.stop_node(node),
            Fault::AddNode => self.add_node(),
            Fault::TableDown => self.table.down = !self.table.down,
            Fault::LeaveUpstream => self.leave_upstream(upstream),
            Fault::CutLink => self.cut_link(),
            Fault::OperatorDrain => self.operator_drain(node, upstream),
            Fault::CutNextUpstream => self.cut_next_upstream(),
        }
    }

    /// Ends all faults, after which the system must recover.
    pub fn heal(&mut self) {
        self.healed = true;
        self.partition_ids.clear();
        self.cut_links.clear();
        self.table.down = false;
        self.queue
            .retain(|_, event| !matches!(event, Event::Fault | Event::Request));
        for index in 0..self.nodes.len() {
            let boot_id = self.nodes[index].boot_id;
            self.resume(Host::Node(index), boot_id);
        }
        self.restart_ended();
        for index in 0..self.upstreams.len() {
            let process = &mut self.upstreams[index];
            process.leaving = false;
            let boot_id = process.boot_id;
            self.resume(Host::Upstream(index), boot_id);
        }
    }

    /// Restarts daemons that have left and cancels drains by operators.
    pub fn restore_participants(&mut self) {
        self.restart_ended();
        let node = self.rng.random_range(0..self.nodes.len());
        for index in 0..self.upstreams.len() {
            let info = self.table.state.upstreams.get(&upstream_name(index));
            if info.is_some_and(|info| info.drained_by_operator) {
                self.command_drain(node, index, false);
            }
        }
    }

    /// Starts a new daemon in place of each one that has ended.
    fn restart_ended(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].node.is_none() {
                self.restart_node(index);
            }
        }
    }

    /// Separates `hosts` from all others.
    pub fn isolate(&mut self, hosts: &[Host]) {
        self.partition_ids.clear();
        self.partition_ids
            .extend(hosts.iter().map(|host| (*host, 1)));
    }

    fn partition(&mut self) {
        if !self.partition_ids.is_empty() && self.chance(60) {
            self.partition_ids.clear();
            return;
        }
        let hosts = self.hosts();
        self.partition_ids = Map::default();
        for host in hosts {
            let partition_id = self.rng.random_range(0..2);
            self.partition_ids.insert(host, partition_id);
        }
    }

    /// Separates the table, one daemon and one upstream from all other hosts.
    fn cut_table(&mut self, node: usize, upstream: usize) {
        if !self.partition_ids.is_empty() && self.chance(40) {
            self.partition_ids.clear();
            return;
        }
        self.partition_ids = Map::default();
        self.partition_ids.insert(Host::Table, 1);
        self.partition_ids.insert(Host::Node(node), 1);
        self.partition_ids.insert(Host::Upstream(upstream), 1);
    }

    fn cut(&mut self, host: Host) {
        if self.partition_ids.remove(&host).is_none() {
            self.partition_ids.insert(host, 2);
        }
    }

    /// Cuts or restores one link, so that hosts disagree about which others they can reach.
    fn cut_link(&mut self) {
        let hosts = self.hosts();
        let from = hosts[self.rng.random_range(0..hosts.len())];
        let to = hosts[self.rng.random_range(0..hosts.len())];
        if !self.cut_links.remove(&(from, to)) {
            self.cut_links.insert((from, to));
        }
    }

    fn operator_drain(&mut self, node: usize, upstream: usize) {
        let drain = self.chance(50);
        if !self.nodes[node].frozen {
            self.command_drain(node, upstream, drain);
        }
    }

    fn command_drain(&mut self, node: usize, upstream: usize, drain: bool) {
        let upstream = upstream_name(upstream);
        self.command(node, OperatorCommand::Drain { upstream, drain });
    }

    fn cut_next_upstream(&mut self) {
        let is_cut = |index: &usize| self.partition_ids.contains_key(&Host::Upstream(*index));
        let last = (0..self.upstreams.len()).find(is_cut);
        let next = last.map_or(0, |last| (last + 1) % self.upstreams.len());
        self.partition_ids.clear();
        self.partition_ids.insert(Host::Upstream(next), 2);
    }

    fn hosts(&self) -> Vec<Host> {
        let nodes = (0..self.nodes.len()).map(Host::Node);
        let upstreams = (0..self.upstreams.len()).map(Host::Upstream);
        nodes.chain(upstreams).chain([Host::Table]).collect()
    }

    fn freeze(&mut self, host: Host) {
        let boot_id = match host {
            Host::Node(node) => {
                self.nodes[node].frozen = true;
                self.nodes[node].boot_id
            }
            Host::Upstream(upstream) => {
                self.upstreams[upstream].frozen = true;
                self.upstreams[upstream].boot_id
            }
            Host::Table => return,
        };
        let delay_ms = self.rng.random_range(100..4_000);
        self.after(delay_ms, Event::Resume(host, boot_id));
    }

    /// Resumes a frozen process, which then receives all messages that arrived in the meantime.
    pub fn resume(&mut self, host: Host, boot_id: u64) {
        let frozen = match host {
            Host::Node(node) if self.nodes[node].boot_id == boot_id => &mut self.nodes[node].frozen,
            Host::Upstream(upstream) if self.upstreams[upstream].boot_id == boot_id => {
                &mut self.upstreams[upstream].frozen
            }
            _ => return,
        };
        *frozen = false;
        for event in self.deferred_events.remove(&host).unwrap_or_default() {
            self.after(0, event);
        }
    }

    pub fn restart_node(&mut self, node: usize) {
        let boot_id = self.new_boot_id();
        let clock = self.nodes[node].clock;
        let without = self.options.without;
        self.deferred_events.remove(&Host::Node(node));
        self.nodes[node] = DaemonProcess::new(node, boot_id, clock, self.t, without);
        self.start_ticks(node);
    }

    pub fn restart_upstream(&mut self, upstream: usize) {
        let boot_id = self.new_boot_id();
        let clock: Clock = self.upstreams[upstream].clock;
        let leaving = self.upstreams[upstream].leaving;
        self.deferred_events.remove(&Host::Upstream(upstream));
        self.upstreams[upstream] =
            UpstreamProcess::new(boot_id, clock, self.options.holder_without);
        self.upstreams[upstream].leaving = leaving;
    }

    /// Ends a daemon without notice and does not restart it.
    pub fn kill_node(&mut self, node: usize) {
        self.nodes[node].node = None;
        self.nodes[node].view = None;
    }

    pub fn freeze_forever(&mut self, upstream: usize) {
        self.upstreams[upstream].frozen = true;
    }

    pub fn stop_node(&mut self, node: usize) {
        let boot_id = self.nodes[node].boot_id;
        if !self.nodes[node].frozen {
            self.input(Caller { node, boot_id }, NodeInput::Stop);
        }
    }

    fn add_node(&mut self) {
        if self.nodes.len() < 2 * self.options.profile.daemons() {
            let index = self.nodes.len();
            let clock = self.random_clock();
            let boot_id = self.new_boot_id();
            let without = self.options.without;
            let node = DaemonProcess::new(index, boot_id, clock, self.t, without);
            self.nodes.push(node);
            self.start_ticks(index);
        }
    }

    pub fn leave_upstream(&mut self, upstream: usize) {
        let leaving = &mut self.upstreams[upstream].leaving;
        *leaving = !*leaving;
    }
}

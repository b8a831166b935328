//! Faults and the profiles that choose among them.

use super::participants::{Clock, DaemonProcess, Place, UpstreamProcess, upstream_name};
use super::world::{Caller, Event, World};
use balsam_decide::node::{NodeInput, OperatorCommand};
use balsam_types::Map;
use rand::RngExt;

/// The kind of faults that a schedule has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// No faults but those that a test makes itself.
    Quiet,
    /// All faults.
    Mixed,
    /// Messages are often late.
    Late,
    /// Partitions that cut the table and most daemons apart.
    Partitions,
    /// Upstreams freeze, restart and are cut off while long requests run.
    Upstreams,
    /// Daemons restart, leave and join.
    Daemons,
    /// Upstreams are cut off in turn for long enough that units go back to an earlier owner, while
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

    /// The longest request, in milliseconds.
    pub const fn work_max_ms(self) -> u64 {
        match self {
            Self::Returns => 9_000,
            _ => 4_000,
        }
    }

    /// When all faults end.
    pub const fn heal_at_ms(self) -> u64 {
        match self {
            Self::Returns => 12_000,
            _ => 6_000,
        }
    }

    /// The time between two faults, in milliseconds.
    const fn pause_ms(self) -> std::ops::Range<u64> {
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
        let pause = self.rng.random_range(self.options.profile.pause_ms());
        self.after(pause, Event::Fault);
        let faults = self.options.profile.faults();
        let fault = faults[self.rng.random_range(0..faults.len())];
        let node = self.rng.random_range(0..self.nodes.len());
        let upstream = self.rng.random_range(0..self.upstreams.len());
        match fault {
            Fault::Partition => self.partition(),
            Fault::CutTable => self.cut_table(node, upstream),
            Fault::CutUpstream => self.cut(Place::Upstream(upstream)),
            Fault::FreezeNode => self.freeze(Place::Node(node)),
            Fault::FreezeUpstream => self.freeze(Place::Upstream(upstream)),
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

    /// Removes all faults, so that the system must recover.
    pub fn heal(&mut self) {
        self.healed = true;
        self.sides.clear();
        self.cut_links.clear();
        self.table.down = false;
        self.queue
            .retain(|_, event| !matches!(event, Event::Fault | Event::Request));
        for index in 0..self.nodes.len() {
            let life = self.nodes[index].life;
            self.resume(Place::Node(index), life);
        }
        self.restart_ended();
        for index in 0..self.upstreams.len() {
            let process = &mut self.upstreams[index];
            process.leaving = false;
            let life = process.life;
            self.resume(Place::Upstream(index), life);
        }
    }

    /// Starts daemons that have left, and takes back drains of operators.
    pub fn tend(&mut self) {
        self.restart_ended();
        let node = self.rng.random_range(0..self.nodes.len());
        for index in 0..self.upstreams.len() {
            let info = self.table.state.upstreams.get(&upstream_name(index));
            if info.is_some_and(|info| info.drained_by_operator) {
                self.command_drain(node, index, false);
            }
        }
    }

    /// Starts a new daemon wherever one has left.
    fn restart_ended(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].node.is_none() {
                self.restart_node(index);
            }
        }
    }

    /// Cuts `places` off from everything else.
    pub fn isolate(&mut self, places: &[Place]) {
        self.sides.clear();
        self.sides.extend(places.iter().map(|place| (*place, 1)));
    }

    fn partition(&mut self) {
        if !self.sides.is_empty() && self.chance(60) {
            self.sides.clear();
            return;
        }
        let places = self.places();
        self.sides = Map::default();
        for place in places {
            let side = self.rng.random_range(0..2);
            self.sides.insert(place, side);
        }
    }

    /// Leaves the table with one daemon and one upstream, apart from everything else.
    fn cut_table(&mut self, node: usize, upstream: usize) {
        if !self.sides.is_empty() && self.chance(40) {
            self.sides.clear();
            return;
        }
        self.sides = Map::default();
        self.sides.insert(Place::Table, 1);
        self.sides.insert(Place::Node(node), 1);
        self.sides.insert(Place::Upstream(upstream), 1);
    }

    fn cut(&mut self, place: Place) {
        if self.sides.remove(&place).is_none() {
            self.sides.insert(place, 2);
        }
    }

    /// Cuts or restores one link, so that places see each other differently.
    fn cut_link(&mut self) {
        let places = self.places();
        let from = places[self.rng.random_range(0..places.len())];
        let to = places[self.rng.random_range(0..places.len())];
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
        let is_cut = |index: &usize| self.sides.contains_key(&Place::Upstream(*index));
        let last = (0..self.upstreams.len()).find(is_cut);
        let next = last.map_or(0, |last| (last + 1) % self.upstreams.len());
        self.sides.clear();
        self.sides.insert(Place::Upstream(next), 2);
    }

    fn places(&self) -> Vec<Place> {
        let nodes = (0..self.nodes.len()).map(Place::Node);
        let upstreams = (0..self.upstreams.len()).map(Place::Upstream);
        nodes.chain(upstreams).chain([Place::Table]).collect()
    }

    fn freeze(&mut self, place: Place) {
        let life = match place {
            Place::Node(node) => {
                self.nodes[node].frozen = true;
                self.nodes[node].life
            }
            Place::Upstream(upstream) => {
                self.upstreams[upstream].frozen = true;
                self.upstreams[upstream].life
            }
            Place::Table => return,
        };
        let pause = self.rng.random_range(100..4_000);
        self.after(pause, Event::Resume(place, life));
    }

    /// Lets a frozen process go on; it finds all messages that arrived meanwhile.
    pub fn resume(&mut self, place: Place, life: u64) {
        let frozen = match place {
            Place::Node(node) if self.nodes[node].life == life => &mut self.nodes[node].frozen,
            Place::Upstream(upstream) if self.upstreams[upstream].life == life => {
                &mut self.upstreams[upstream].frozen
            }
            _ => return,
        };
        *frozen = false;
        for event in self.waiting.remove(&place).unwrap_or_default() {
            self.after(0, event);
        }
    }

    pub fn restart_node(&mut self, node: usize) {
        let life = self.new_life();
        let clock = self.nodes[node].clock;
        let without = self.options.without;
        self.waiting.remove(&Place::Node(node));
        self.nodes[node] = DaemonProcess::new(node, life, clock, self.t, without);
        self.start_ticks(node);
    }

    pub fn restart_upstream(&mut self, upstream: usize) {
        let life = self.new_life();
        let clock: Clock = self.upstreams[upstream].clock;
        let leaving = self.upstreams[upstream].leaving;
        self.waiting.remove(&Place::Upstream(upstream));
        self.upstreams[upstream] = UpstreamProcess::new(life, clock, self.options.holder_without);
        self.upstreams[upstream].leaving = leaving;
    }

    /// Ends a daemon without notice and does not start it again.
    pub fn kill_node(&mut self, node: usize) {
        self.nodes[node].node = None;
        self.nodes[node].view = None;
    }

    pub fn freeze_forever(&mut self, upstream: usize) {
        self.upstreams[upstream].frozen = true;
    }

    pub fn stop_node(&mut self, node: usize) {
        let life = self.nodes[node].life;
        if !self.nodes[node].frozen {
            self.input(Caller { node, life }, NodeInput::Stop);
        }
    }

    fn add_node(&mut self) {
        if self.nodes.len() < 2 * self.options.profile.daemons() {
            let index = self.nodes.len();
            let clock = self.random_clock();
            let life = self.new_life();
            let without = self.options.without;
            let node = DaemonProcess::new(index, life, clock, self.t, without);
            self.nodes.push(node);
            self.start_ticks(index);
        }
    }

    pub fn leave_upstream(&mut self, upstream: usize) {
        let leaving = &mut self.upstreams[upstream].leaving;
        *leaving = !*leaving;
    }
}

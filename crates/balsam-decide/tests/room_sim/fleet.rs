//! Daemons with a pool and a keeper each, a network between them, and upstreams with slots.

use super::{DEADLINE_MS, SLOTS, USUAL_MS, cluster, daemon, route, service, upstream, zone};
use balsam_decide::budget::BudgetTerms;
use balsam_decide::directory::DiscoveredUpstream;
use balsam_decide::pool::{
    ClusterState, EndReport, Permit, Pool, PoolInput, PoolOutput, PoolSettings, Request, RequestId,
    Verdict,
};
use balsam_decide::room::{Keeper, KeeperCounts, KeeperInput, KeeperList, RoomMessage};
use balsam_types::{Route, TimeMs};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// One-way latency to upstreams, in milliseconds.
const LATENCY_MS: u64 = 1;

/// Interval at which a pool looks for requests whose time is over.
const CHECK_MS: u64 = 20;

/// What a fleet consists of.
#[derive(Clone, Copy, Debug)]
pub struct FleetTerms {
    pub daemons: u16,
    pub zones: u16,
    pub upstreams: u16,
    /// Requests that wait at an upstream before it sheds load.
    pub queue: usize,
    /// Messages between daemons that are lost, of a thousand.
    pub lost_permille: u64,
    pub daemons_per_slot: u32,
    /// One-way latency between daemons, in milliseconds.
    pub latency_ms: u64,
}

#[derive(Debug)]
enum Event {
    Message {
        from: u16,
        to: u16,
        message: RoomMessage,
    },
    Adopt {
        daemon: u16,
        cluster: ClusterState,
    },
    Call {
        daemon: u16,
        route: Arc<Route>,
        deadline: TimeMs,
        is_return: bool,
    },
    Arrive(Attempt),
    Finish(Attempt),
    Done {
        attempt: Attempt,
        verdict: Verdict,
    },
}

/// A request at an upstream.
#[derive(Clone, Debug)]
struct Attempt {
    daemon: u16,
    life: u64,
    request: RequestId,
    upstream: u16,
    permit: Option<Permit>,
    sent_at: TimeMs,
    /// When the daemon gives the request up and closes its connection.
    deadline: TimeMs,
}

#[derive(Debug)]
struct Caller {
    route: Arc<Route>,
    deadline: TimeMs,
    is_return: bool,
    decisions: u32,
}

#[derive(Debug, Default)]
struct FakeUpstream {
    running: u32,
    waiting: VecDeque<Attempt>,
    in_flight_max: u32,
    permits: i64,
    permits_max: i64,
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub sent: u64,
    pub refused: u64,
    pub served: u64,
    pub shed: u64,
    /// Requests that were sent without a permit.
    pub alone: u64,
    /// Requests decided more than once, or later than their time and one check.
    pub wrong: u64,
    /// Requests that were made and sent, by rank.
    pub called_by_rank: [u64; 2],
    pub sent_by_rank: [u64; 2],
}

struct Daemon {
    life: u64,
    pool: Pool,
    keeper: Keeper,
    /// Messages for the keeper while it is frozen.
    frozen: Option<Vec<(SocketAddr, RoomMessage)>>,
}

/// All daemons and upstreams.
pub struct Fleet {
    pub now: TimeMs,
    pub counts: Counts,
    terms: FleetTerms,
    members: Vec<Daemon>,
    callers: BTreeMap<(u16, u64, RequestId), Caller>,
    upstreams: Vec<FakeUpstream>,
    events: BTreeMap<(TimeMs, u64), Event>,
    cluster: ClusterState,
    last_number: u64,
    random: u64,
}

impl Fleet {
    pub fn new(terms: FleetTerms, list: &KeeperList) -> Self {
        let now = TimeMs(100_000);
        let found: Vec<_> = (0..terms.upstreams)
            .map(|number| upstream(number, number % terms.zones))
            .collect();
        let cluster = cluster(&found, false, u32::from(terms.daemons), list);
        let mut fleet = Self {
            now,
            counts: Counts::default(),
            terms,
            members: Vec::new(),
            callers: BTreeMap::new(),
            upstreams: found.iter().map(|_| FakeUpstream::default()).collect(),
            events: BTreeMap::new(),
            cluster,
            last_number: 0,
            random: 1,
        };
        for number in 0..terms.daemons {
            let member = fleet.start(number, 1);
            fleet.members.push(member);
            fleet.adopt(number, &fleet.cluster.clone());
        }
        fleet
    }

    fn start(&self, number: u16, life: u64) -> Daemon {
        let settings = PoolSettings {
            zone: zone(number % self.terms.zones),
            budget: BudgetTerms {
                ratio: 0.2,
                slack: 60.0,
                window_ms: 10_000,
                daemons: u32::from(self.terms.daemons),
            },
            drain_ms: 2_000,
            seed: u64::from(number),
            room_daemons_per_slot: self.terms.daemons_per_slot,
            first_permit_id: life << 32,
        };
        Daemon {
            life,
            pool: Pool::new(settings),
            keeper: Keeper::new(self.now, daemon(number)),
            frozen: None,
        }
    }

    /// Restarts all daemons. Requests in flight end unanswered, and permits are forgotten.
    pub fn restart_all(&mut self) {
        self.callers.clear();
        for number in 0..self.terms.daemons {
            let life = self.members[usize::from(number)].life + 1;
            self.members[usize::from(number)] = self.start(number, life);
            self.adopt(number, &self.cluster.clone());
        }
    }

    /// Returns the daemon whose keeper has granted most.
    pub fn busiest_keeper(&self) -> u16 {
        let granted = |number: &u16| self.members[usize::from(*number)].keeper.counts().granted;
        let busiest = (0..self.terms.daemons).max_by_key(granted);
        busiest.expect("a daemon")
    }

    /// Freezes the keeper of a daemon.
    pub fn freeze(&mut self, number: u16) {
        self.members[usize::from(number)].frozen = Some(Vec::new());
    }

    /// Lets a frozen keeper go on with the messages that have arrived in the meantime.
    pub fn wake(&mut self, number: u16) {
        let held = self.members[usize::from(number)].frozen.take();
        for (from, message) in held.unwrap_or_default() {
            self.keep(number, KeeperInput::Message { from, message });
        }
    }

    /// Publishes a list of keepers, which reaches the daemons within `spread_ms`.
    pub fn publish(&mut self, list: &KeeperList, spread_ms: u64) {
        self.cluster.keepers = Arc::new(list.clone());
        for number in 0..self.terms.daemons {
            let delay_ms = 1 + self.draw(spread_ms);
            let cluster = self.cluster.clone();
            let event = Event::Adopt {
                daemon: number,
                cluster,
            };
            self.schedule(delay_ms, event);
        }
    }

    /// Runs for a time, with callers that come at a rate in percent of the capacity. Callers that are
    /// refused return once.
    pub fn run(&mut self, ms: u64, load_percent: u64) {
        let interval_us = u64::from(USUAL_MS) * 1_000 * 100
            / (u64::from(self.terms.upstreams) * u64::from(SLOTS) * load_percent.max(1));
        let mut next_us = self.now.0 * 1_000;
        for _ in 0..ms {
            self.now = self.now.after(1);
            while load_percent > 0 && next_us <= self.now.0 * 1_000 {
                next_us += interval_us;
                let daemon = self.draw(u64::from(self.terms.daemons)) as u16;
                let route = route(self.draw(2) as u32);
                let deadline = self.now.after(u64::from(DEADLINE_MS));
                self.call(daemon, route, deadline, false);
            }
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= self.now
            {
                let event = entry.remove();
                self.handle(event);
            }
            for number in 0..self.terms.daemons {
                let member = &self.members[usize::from(number)];
                let is_due = |at: Option<TimeMs>| at.is_some_and(|at| at <= self.now);
                let pool_is_due = is_due(member.pool.next_wakeup());
                let keeper_is_due = member.frozen.is_none() && is_due(member.keeper.next_wakeup());
                if pool_is_due {
                    self.decide(number, PoolInput::Tick);
                }
                if keeper_is_due {
                    self.keep(number, KeeperInput::Tick);
                }
            }
        }
    }

    /// Runs without callers until all requests must have ended and all permits must have expired.
    pub fn drain(&mut self) {
        self.run(2 * u64::from(DEADLINE_MS) + 1_000, 0);
    }

    /// Returns how many requests never got an answer of their pool.
    pub fn unanswered(&self) -> usize {
        let callers = self.callers.values();
        callers.filter(|caller| caller.decisions == 0).count()
    }

    /// Returns the largest number of requests that were in flight at an upstream.
    pub fn in_flight_max(&self) -> u32 {
        let upstreams = self.upstreams.iter();
        upstreams
            .map(|found| found.in_flight_max)
            .max()
            .unwrap_or(0)
    }

    /// Returns the largest number of requests with a permit that were in flight at an upstream.
    pub fn permits_max(&self) -> i64 {
        let upstreams = self.upstreams.iter();
        upstreams.map(|found| found.permits_max).max().unwrap_or(0)
    }

    /// Forgets the largest numbers so far.
    pub fn reset_maximum(&mut self) {
        for found in &mut self.upstreams {
            found.in_flight_max = 0;
            found.permits_max = 0;
        }
    }

    /// Returns the sum of what the keepers hold.
    pub fn held(&self) -> KeeperCounts {
        let mut sum = KeeperCounts::default();
        for member in &self.members {
            let counts = member.keeper.counts();
            sum.granted += counts.granted;
            sum.queued += counts.queued;
            sum.refused += counts.refused;
            sum.expired += counts.expired;
            sum.permits += counts.permits;
            sum.waiting += counts.waiting;
        }
        sum
    }

    /// Returns how many requests wait for permits at the pools.
    pub fn awaited(&self) -> usize {
        let members = self.members.iter();
        members.map(|member| member.pool.awaited_permits()).sum()
    }

    fn draw(&mut self, limit: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % limit.max(1)
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.last_number += 1;
        let key = (self.now.after(delay_ms), self.last_number);
        self.events.insert(key, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Message { from, to, message } => self.deliver(from, to, message),
            Event::Adopt { daemon, cluster } => self.adopt(daemon, &cluster),
            Event::Call {
                daemon,
                route,
                deadline,
                is_return,
            } => self.call(daemon, route, deadline, is_return),
            Event::Arrive(attempt) => self.arrive(attempt),
            Event::Finish(attempt) => self.finish(attempt),
            Event::Done { attempt, verdict } => self.done(&attempt, verdict),
        }
    }

    fn adopt(&mut self, number: u16, cluster: &ClusterState) {
        self.decide(number, PoolInput::Cluster(cluster.clone()));
        self.keep(number, KeeperInput::Cluster(cluster.clone()));
        let list = cluster.keepers.as_ref().clone();
        self.keep(number, KeeperInput::Keepers(list));
    }

    fn call(&mut self, number: u16, route: Arc<Route>, deadline: TimeMs, is_return: bool) {
        self.last_number += 1;
        let id = RequestId(self.last_number);
        let caller = Caller {
            route: Arc::clone(&route),
            deadline,
            is_return,
            decisions: 0,
        };
        self.counts.called_by_rank[caller.route.rank as usize] += u64::from(!is_return);
        let life = self.members[usize::from(number)].life;
        self.callers.insert((number, life, id), caller);
        let request = Request {
            id,
            route,
            service: None,
            key: None,
            received_at: self.now,
            caller_deadline: deadline,
            give_up_at: deadline,
            avoid: Vec::new(),
            is_repeat: false,
        };
        self.decide(number, PoolInput::Request(request));
    }

    fn deliver(&mut self, from: u16, to: u16, message: RoomMessage) {
        let from = daemon(from);
        match message {
            RoomMessage::Ask(_) | RoomMessage::Return(_) => {
                match &mut self.members[usize::from(to)].frozen {
                    Some(held) => held.push((from, message)),
                    None => self.keep(to, KeeperInput::Message { from, message }),
                }
            }
            RoomMessage::Answer { .. } | RoomMessage::Acknowledge(_) => {
                self.decide(to, PoolInput::Room { from, message });
            }
        }
    }

    /// Sends a message. Those of a daemon to itself are not lost.
    fn post(&mut self, from: u16, to: SocketAddr, message: RoomMessage) {
        let to = to.port() - 7_000;
        let is_lost = from != to && self.draw(1_000) < self.terms.lost_permille;
        if !is_lost {
            let delay_ms = if from == to { 0 } else { self.terms.latency_ms };
            self.schedule(delay_ms, Event::Message { from, to, message });
        }
    }

    fn keep(&mut self, number: u16, input: KeeperInput) {
        let member = &mut self.members[usize::from(number)];
        for output in member.keeper.handle(self.now, input) {
            self.post(number, output.to, output.message);
        }
    }

    fn decide(&mut self, number: u16, input: PoolInput) {
        let member = &mut self.members[usize::from(number)];
        let life = member.life;
        for output in member.pool.handle(self.now, input) {
            match output {
                PoolOutput::Room { keeper, message } => self.post(number, keeper, message),
                PoolOutput::Send {
                    id,
                    upstream,
                    permit,
                    ..
                } => {
                    let (rank, deadline) = self.count_decision(number, life, id);
                    self.counts.sent += 1;
                    self.counts.sent_by_rank[rank] += 1;
                    self.counts.alone += u64::from(permit.is_none());
                    let attempt = Attempt {
                        daemon: number,
                        life,
                        request: id,
                        upstream: upstream.entry.address.port() - 9_000,
                        permit,
                        sent_at: self.now,
                        deadline,
                    };
                    self.schedule(LATENCY_MS, Event::Arrive(attempt));
                }
                PoolOutput::Refuse {
                    id, retry_after_ms, ..
                } => {
                    self.count_decision(number, life, id);
                    self.counts.refused += 1;
                    self.return_later(number, life, id, retry_after_ms);
                }
                PoolOutput::Withdraw { .. } => {}
            }
        }
    }

    /// Counts a decision, and returns the rank and the deadline of the request.
    fn count_decision(&mut self, number: u16, life: u64, id: RequestId) -> (usize, TimeMs) {
        let caller = self.callers.get_mut(&(number, life, id));
        let caller = caller.expect("a request that was made");
        caller.decisions += 1;
        let is_late = self.now > caller.deadline.after(CHECK_MS);
        self.counts.wrong += u64::from(is_late || caller.decisions > 1);
        (caller.route.rank as usize, caller.deadline)
    }

    fn return_later(&mut self, number: u16, life: u64, id: RequestId, retry_after_ms: u64) {
        let caller = &self.callers[&(number, life, id)];
        let returns = !caller.is_return && self.now.after(retry_after_ms) < caller.deadline;
        if returns {
            let event = Event::Call {
                daemon: number,
                route: Arc::clone(&caller.route),
                deadline: caller.deadline,
                is_return: true,
            };
            self.schedule(retry_after_ms, event);
        }
    }

    fn arrive(&mut self, attempt: Attempt) {
        let queue = self.terms.queue;
        let found = &mut self.upstreams[usize::from(attempt.upstream)];
        if found.running >= SLOTS && found.waiting.len() >= queue {
            self.counts.shed += 1;
            let verdict = Verdict::Shed;
            return self.schedule(LATENCY_MS, Event::Done { attempt, verdict });
        }
        found.permits += i64::from(attempt.permit.is_some());
        found.permits_max = found.permits_max.max(found.permits);
        let in_flight = found.running + found.waiting.len() as u32 + 1;
        found.in_flight_max = found.in_flight_max.max(in_flight);
        if found.running < SLOTS {
            found.running += 1;
            self.work(attempt);
        } else {
            found.waiting.push_back(attempt);
        }
    }

    /// Starts to work for half to one and a half of the usual time, or until the daemon gives up.
    fn work(&mut self, attempt: Attempt) {
        let work_ms = u64::from(USUAL_MS) / 2 + self.draw(u64::from(USUAL_MS));
        let left_ms = attempt.deadline.since(self.now);
        self.schedule(work_ms.min(left_ms), Event::Finish(attempt));
    }

    fn finish(&mut self, attempt: Attempt) {
        let found = &mut self.upstreams[usize::from(attempt.upstream)];
        found.running -= 1;
        found.permits -= i64::from(attempt.permit.is_some());
        if let Some(next) = found.waiting.pop_front() {
            found.running += 1;
            self.work(next);
        }
        let verdict = if self.now < attempt.deadline {
            self.counts.served += 1;
            Verdict::Served
        } else {
            Verdict::TimedOut
        };
        self.schedule(LATENCY_MS, Event::Done { attempt, verdict });
    }

    fn done(&mut self, attempt: &Attempt, verdict: Verdict) {
        if self.members[usize::from(attempt.daemon)].life != attempt.life {
            return;
        }
        let caller = &self.callers[&(attempt.daemon, attempt.life, attempt.request)];
        let input = PoolInput::Done {
            upstream: self.found(attempt.upstream),
            route: Arc::clone(&caller.route),
            verdict,
            took_ms: self.now.since(attempt.sent_at),
            permit: attempt.permit,
            report: EndReport::default(),
        };
        self.decide(attempt.daemon, input);
    }

    fn found(&self, number: u16) -> Arc<DiscoveredUpstream> {
        let found = self.cluster.upstreams.of(&service()).iter();
        let mut found = found.filter(|found| found.entry.address.port() == 9_000 + number);
        Arc::clone(found.next().expect("an upstream that was chosen"))
    }
}

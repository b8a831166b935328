//! The pool's state machine.

use super::endpoint::Lane;
use super::pick::{Choice, Chooser};
use super::queue::{Queue, Waiting};
use super::{ClusterState, PoolInput, PoolOutput, PoolSettings, Refusal, Request, Verdict};
use crate::budget::Budget;
use crate::directory::DiscoveredUpstream;
use crate::routing::TrafficSplits;
use balsam_types::{Map, Route, RouteName, ServiceName, TimeMs, UpstreamName, new_map};
use std::sync::Arc;

/// The part of its objective that a request waits for room at most, in percent; later answers
/// would miss the objective anyway.
const WAIT_PERCENT: u64 = 45;

/// How long a request waits for an owner of its key at most, as a part of its objective in percent.
const OWNER_WAIT_PERCENT: u64 = 100;

/// When callers are told to come back at the earliest, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 100;

/// The share of the newest answer in the mean time of a route.
const USUAL_SHARE: f64 = 0.05;

/// Routes whose mean time is kept; routes that were removed are forgotten beyond that.
const ROUTES_MAX: usize = 4_096;

/// The time between two looks at waiting requests while any wait, in milliseconds.
const LOOK_MS: u64 = 20;

/// Assigns requests to upstreams.
#[derive(Debug)]
pub struct Pool {
    settings: PoolSettings,
    world: Option<ClusterState>,
    lanes: Map<UpstreamName, Lane>,
    queues: Map<ServiceName, Queue>,
    splits: TrafficSplits,
    budget: Budget,
    usual_ms: Map<RouteName, f64>,
}

impl Pool {
    /// Makes a pool that knows no upstream.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            budget: Budget::new(settings.budget),
            settings,
            world: None,
            lanes: new_map(),
            queues: new_map(),
            splits: TrafficSplits::new(),
            usual_ms: new_map(),
        }
    }

    /// Returns the repeats that the budget has left, by service.
    pub fn budget_left(&mut self, now: TimeMs) -> Vec<(ServiceName, f64)> {
        self.budget.all_left(now)
    }

    /// Takes one input and returns what follows from it.
    pub fn handle(&mut self, now: TimeMs, input: PoolInput) -> Vec<PoolOutput> {
        let mut outputs = Vec::new();
        match input {
            PoolInput::Request(ask) => self.ask(now, ask, &mut outputs),
            PoolInput::Cancel(id) => {
                for queue in self.queues.values_mut() {
                    queue.remove(id);
                }
            }
            PoolInput::Done {
                upstream,
                route,
                verdict,
                took_ms,
            } => {
                self.done(now, &upstream, &route, verdict, took_ms);
                let service = upstream.entry.service.clone();
                self.serve_waiting(now, &service, &mut outputs);
            }
            PoolInput::Budget(terms) => self.budget.set_terms(terms),
            PoolInput::Cluster(world) => self.adopt(now, world, &mut outputs),
            PoolInput::Tick => self.look(now, &mut outputs),
        }
        outputs
    }

    /// Returns when the pool must look at its queues again.
    pub fn next_wakeup(&self, now: TimeMs) -> Option<TimeMs> {
        let next = self.queues.values().filter_map(Queue::next_expiry).min()?;
        Some(next.min(now.after(LOOK_MS)))
    }

    fn ask(&mut self, now: TimeMs, ask: Request, outputs: &mut Vec<PoolOutput>) {
        let id = ask.id;
        let service = ask
            .service
            .clone()
            .or_else(|| self.splits.choose(&ask.route));
        let (Some(service), true) = (service, self.world.is_some()) else {
            let retry_after_ms = RETRY_AFTER_MIN_MS;
            outputs.push(PoolOutput::Refuse {
                id,
                refusal: Refusal::NoUpstream,
                retry_after_ms,
            });
            return;
        };
        if !ask.is_repeat {
            self.budget.count_request(now, &service);
        } else if self.budget.left(now, &service) < 1.0 {
            outputs.push(refuse(&ask, Refusal::Budget));
            return;
        }
        match self.choose(now, &ask, &service) {
            Choice::Upstream(upstream) => outputs.push(self.send(now, &ask, service, upstream)),
            Choice::Wait(refusal) => self.wait(now, ask, service, refusal, outputs),
        }
    }

    fn choose(&self, now: TimeMs, ask: &Request, service: &ServiceName) -> Choice {
        let Some(world) = &self.world else {
            return Choice::Wait(Refusal::NoUpstream);
        };
        let chooser = Chooser {
            now,
            world,
            lanes: &self.lanes,
            settings: &self.settings,
        };
        chooser.choose(ask, service)
    }

    fn send(
        &mut self,
        now: TimeMs,
        ask: &Request,
        service: ServiceName,
        upstream: Arc<DiscoveredUpstream>,
    ) -> PoolOutput {
        if ask.is_repeat && !self.budget.take(now, &service) {
            return refuse(ask, Refusal::Budget);
        }
        let daemons = self.world.as_ref().map_or(1, |world| world.daemons);
        let entry = &upstream.entry;
        let lane = self.lanes.entry(entry.name.clone());
        let lane = lane.or_insert_with(|| Lane::new(entry.born, entry.slots, daemons));
        if lane.born() != entry.born {
            *lane = Lane::new(entry.born, entry.slots, daemons);
        }
        lane.sent();
        PoolOutput::Send {
            id: ask.id,
            service,
            upstream,
        }
    }

    fn wait(
        &mut self,
        now: TimeMs,
        ask: Request,
        service: ServiceName,
        refusal: Refusal,
        outputs: &mut Vec<PoolOutput>,
    ) {
        let percent = match refusal {
            Refusal::NoOwner => OWNER_WAIT_PERCENT,
            Refusal::NoUpstream | Refusal::Busy | Refusal::Budget => WAIT_PERCENT,
        };
        let wait_ms = ask.route.objective_ms * percent / 100;
        let until = now.after(wait_ms).min(ask.give_up_at);
        if until <= now || self.is_hopeless(now, &ask, &service, wait_ms) {
            outputs.push(refuse(&ask, refusal));
            return;
        }
        let queue = self.queues.entry(service.clone()).or_default();
        if let Err(waiting) = queue.push(Waiting {
            ask,
            service,
            until,
        }) {
            outputs.push(refuse(&waiting.ask, Refusal::Busy));
        }
    }

    /// Returns whether the requests that wait for the same upstream fill the time already.
    fn is_hopeless(&self, now: TimeMs, ask: &Request, service: &ServiceName, wait_ms: u64) -> bool {
        let (Some(queue), Some(world)) = (self.queues.get(service), &self.world) else {
            return false;
        };
        let owner = |ask: &Request| {
            let key = ask.key?;
            let found = world.ranges.get(service)?.find(key)?;
            Some(found.owner.upstream.clone())
        };
        let urgent = queue
            .iter()
            .filter(|other| other.ask.route.rank <= ask.route.rank);
        if let Some(name) = owner(ask) {
            let ahead = urgent.filter(|other| owner(&other.ask).as_ref() == Some(&name));
            let turns = ahead.count() as f64 + 1.0;
            return self.lanes.get(&name).is_some_and(|lane| {
                !lane.is_failing(now) && turns * lane.mean_ms() > wait_ms as f64
            });
        }
        let upstreams = world.upstreams.of(service);
        let usual = self.usual_ms.get(&ask.route.name);
        let usual = usual.copied().unwrap_or_default();
        let turns = (urgent.count() as f64 + 1.0) / upstreams.len().max(1) as f64;
        turns * usual > wait_ms as f64
    }

    fn done(
        &mut self,
        now: TimeMs,
        upstream: &DiscoveredUpstream,
        route: &Route,
        verdict: Verdict,
        took_ms: u64,
    ) {
        let usual = self.usual_ms.entry(route.name.clone()).or_default();
        if matches!(verdict, Verdict::Served) {
            let took = took_ms as f64;
            *usual = if *usual == 0.0 {
                took
            } else {
                usual.mul_add(1.0 - USUAL_SHARE, took * USUAL_SHARE)
            };
        }
        let usual = *usual;
        if let Some(lane) = self.lanes.get_mut(&upstream.entry.name)
            && lane.born() == upstream.entry.born
        {
            lane.done(now, verdict, took_ms, route.objective_ms, usual);
        }
    }

    fn adopt(&mut self, now: TimeMs, world: ClusterState, outputs: &mut Vec<PoolOutput>) {
        self.budget.set_daemons(world.daemons);
        self.lanes.retain(|name, lane| {
            world
                .upstreams
                .get(name)
                .is_some_and(|found| found.entry.born == lane.born())
        });
        if self.usual_ms.len() > ROUTES_MAX {
            self.usual_ms.clear();
        }
        self.world = Some(world);
        self.look(now, outputs);
    }

    fn look(&mut self, now: TimeMs, outputs: &mut Vec<PoolOutput>) {
        let services: Vec<ServiceName> = self.queues.keys().cloned().collect();
        for service in services {
            self.serve_waiting(now, &service, outputs);
        }
    }

    fn serve_waiting(&mut self, now: TimeMs, service: &ServiceName, outputs: &mut Vec<PoolOutput>) {
        let Some(mut queue) = self.queues.remove(service) else {
            return;
        };
        let mut at = 0;
        loop {
            let choice = queue
                .iter()
                .nth(at)
                .map(|waiting| self.choose(now, &waiting.ask, service));
            match choice {
                None => break,
                Some(Choice::Upstream(upstream)) => {
                    if let Some(waiting) = queue.take(at) {
                        outputs.push(self.send(now, &waiting.ask, waiting.service, upstream));
                    }
                }
                Some(Choice::Wait(_)) => at += 1,
            }
        }
        for waiting in queue.expire(now) {
            let refusal = match self.choose(now, &waiting.ask, service) {
                Choice::Wait(refusal) => refusal,
                Choice::Upstream(_) => Refusal::Busy,
            };
            outputs.push(refuse(&waiting.ask, refusal));
        }
        if queue.len() > 0 {
            self.queues.insert(service.clone(), queue);
        }
    }
}

fn refuse(ask: &Request, refusal: Refusal) -> PoolOutput {
    let retry_after_ms = (ask.route.objective_ms / 4).max(RETRY_AFTER_MIN_MS);
    PoolOutput::Refuse {
        id: ask.id,
        refusal,
        retry_after_ms,
    }
}

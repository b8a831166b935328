//! The state machine of the pool.

use super::endpoint::Endpoint;
use super::notices::Notices;
use super::patience::CallerPatience;
use super::permits::{AskAttempts, Permit, Permits};
use super::pick::{Choice, Chooser};
use super::queue::{Queue, QueuedRequest};
use super::route_latency::RouteLatency;
use super::{
    ClusterState, PoolInput, PoolOutput, PoolSettings, Refusal, Request, UpstreamNotice, Verdict,
};
use crate::budget::Budget;
use crate::directory::DiscoveredUpstream;
use crate::routing::TrafficSplits;
use balsam_types::{Map, Route, RouteName, ServiceName, TimeMs, UpstreamName, new_map};
use std::sync::Arc;

/// How long a request waits for a free upstream at most, in percent of its latency objective. After
/// a longer wait the response would miss the objective.
const WAIT_PERCENT: u64 = 45;

/// How long a request waits for its key to have an owner at most, in percent of its latency
/// objective.
const OWNER_WAIT_PERCENT: u64 = 100;

/// Minimum of the time after which callers are told to retry, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 100;

/// Time over which callers return after a pause of upstreams, in percent of the rest of the pause.
const RETURN_SPREAD_PERCENT: u64 = 25;

/// Maximum of that time, in milliseconds.
const RETURN_SPREAD_MAX_MS: u64 = 2_000;

/// Mean interval between two daemons that resume after a pause of an upstream, in milliseconds. It
/// is about the time of a fast request.
const RESUME_INTERVAL_MS: u64 = 10;

/// Maximum of the time within which all daemons resume, in milliseconds.
const RESUME_SPREAD_MAX_MS: u64 = 1_000;

/// Number of routes whose mean latency is kept. With more, which removed routes may cause, all are
/// dropped.
const ROUTES_MAX: usize = 4_096;

/// Time after which callers should return whose upstreams are all in evacuated zones, in
/// milliseconds. Nobody knows when a zone is taken back; every daemon then knows it within about
/// this time.
const EVACUATED_RETRY_MS: u64 = 1_000;

/// Interval at which queues are checked while they hold requests, in milliseconds.
const QUEUE_CHECK_MS: u64 = 20;

/// Assigns requests to upstreams, and queues or refuses requests for which no upstream is free.
#[derive(Debug)]
pub struct Pool {
    pub(super) settings: PoolSettings,
    pub(super) cluster: Option<ClusterState>,
    endpoints: Map<UpstreamName, Endpoint>,
    notices: Notices,
    queues: Map<ServiceName, Queue>,
    splits: TrafficSplits,
    budget: Budget,
    pub(super) route_latencies_ms: Map<RouteName, RouteLatency>,
    pub(super) patience: CallerPatience,
    pub(super) permits: Permits,
    /// When the last tick was handled. The next one is due a fixed time after it, also while other
    /// inputs arrive more often.
    ticked_at: TimeMs,
}

impl Pool {
    /// Creates a pool that knows no upstreams.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            budget: Budget::new(settings.budget),
            notices: Notices::new(settings.drain_ms),
            permits: Permits::new(settings.zone.clone(), settings.first_permit_id),
            patience: CallerPatience::new(),
            settings,
            cluster: None,
            endpoints: new_map(),
            queues: new_map(),
            splits: TrafficSplits::new(),
            route_latencies_ms: new_map(),
            ticked_at: TimeMs(0),
        }
    }

    /// Returns the number of retries that the budget has left, by service.
    pub fn budget_left(&mut self, now: TimeMs) -> Vec<(ServiceName, f64)> {
        self.budget.all_left(now)
    }

    /// Returns how many upstreams have announced that they leave, and how many pause now.
    pub fn announced(&self, now: TimeMs) -> (usize, usize) {
        self.notices.counts(now)
    }

    /// Returns how many requests wait for a permit.
    pub fn awaited_permits(&self) -> usize {
        self.permits.awaited()
    }

    /// Processes one input and returns the decisions that follow from it.
    pub fn handle(&mut self, now: TimeMs, input: PoolInput) -> Vec<PoolOutput> {
        let mut outputs = Vec::new();
        match input {
            PoolInput::Request(request) => self.request(now, request, &mut outputs),
            PoolInput::Cancel(id) => {
                for queue in self.queues.values_mut() {
                    queue.remove(id);
                }
                self.cancel_permit(now, id, &mut outputs);
            }
            PoolInput::Notice { upstream, notice } => {
                self.record_notice(now, upstream, notice, &mut outputs);
            }
            PoolInput::Done {
                upstream,
                route,
                verdict,
                took_ms,
                permit,
                report,
            } => {
                self.record_outcome(now, &upstream, &route, verdict, took_ms);
                if let Some(permit) = permit {
                    let outcome = (verdict, took_ms);
                    outputs.push(self.give_back(now, permit, &route, outcome, report));
                }
                let service = upstream.entry.service.clone();
                self.serve_queue(now, &service, &mut outputs);
            }
            PoolInput::Budget(terms) => self.budget.set_terms(terms),
            PoolInput::Cluster(cluster) => self.set_cluster(now, cluster, &mut outputs),
            PoolInput::Room { from, message } => {
                self.handle_keeper(now, from, message, &mut outputs);
            }
            PoolInput::Tick => {
                self.ticked_at = now;
                self.check_permits(now, &mut outputs);
                self.check_queues(now, &mut outputs);
            }
        }
        outputs
    }

    /// Returns when the pool needs a [`PoolInput::Tick`], or `None` if nothing is awaited.
    pub fn next_wakeup(&self) -> Option<TimeMs> {
        let next = self.queues.values().filter_map(Queue::next_expiry).min();
        let next = next.map(|next| next.min(self.ticked_at.after(QUEUE_CHECK_MS)));
        let next = next
            .into_iter()
            .chain(self.permits.next_check(self.ticked_at));
        next.min()
    }

    /// Sends, queues or refuses a request.
    fn request(&mut self, now: TimeMs, request: Request, outputs: &mut Vec<PoolOutput>) {
        let id = request.id;
        let service = request
            .service
            .clone()
            .or_else(|| self.splits.choose(&request.route));
        let (Some(service), true) = (service, self.cluster.is_some()) else {
            let retry_after_ms = RETRY_AFTER_MIN_MS;
            outputs.push(PoolOutput::Refuse {
                id,
                refusal: Refusal::NoUpstream,
                retry_after_ms,
            });
            return;
        };
        if !request.is_repeat {
            self.budget.count_request(now, &service);
        } else if self.budget.left(now, &service) < 1.0 {
            outputs.push(refuse(&request, Refusal::Budget));
            return;
        }
        self.assign(now, request, service, outputs);
    }

    /// Assigns a request to an upstream, or queues or refuses it.
    pub(super) fn assign(
        &mut self,
        now: TimeMs,
        request: Request,
        service: ServiceName,
        outputs: &mut Vec<PoolOutput>,
    ) {
        match self.choose(now, &request, &service) {
            Choice::Upstream(upstream) => {
                let attempts = AskAttempts::default();
                self.ask_or_send(now, request, service, upstream, attempts, outputs);
            }
            choice => self.wait_or_refuse(now, request, service, &choice, outputs),
        }
    }

    /// Queues a request that no upstream can take now, or refuses it if it would wait in vain.
    pub(super) fn wait_or_refuse(
        &mut self,
        now: TimeMs,
        request: Request,
        service: ServiceName,
        choice: &Choice,
        outputs: &mut Vec<PoolOutput>,
    ) {
        match *choice {
            Choice::Upstream(_) => {}
            Choice::Wait(refusal) => self.enqueue(now, request, service, refusal, outputs),
            Choice::Blocked { until } => {
                let wait_ms = wait_ms(&request, Refusal::Announced);
                let expires_at = now.after(wait_ms).min(request.give_up_at);
                if until.is_some_and(|until| until < expires_at) {
                    self.enqueue(now, request, service, Refusal::Announced, outputs);
                } else {
                    outputs.push(refuse_blocked(now, &request, until));
                }
            }
            Choice::Evacuated => outputs.push(refuse_evacuated(&request)),
        }
    }

    pub(super) fn choose(&self, now: TimeMs, request: &Request, service: &ServiceName) -> Choice {
        let keepers = self.keepers(service);
        match self.chooser(now, keepers) {
            Some(chooser) => chooser.choose(request, service),
            None => Choice::Wait(Refusal::NoUpstream),
        }
    }

    /// Returns the choice of upstreams, or `None` before the deployment is known.
    pub(super) fn chooser<'a>(
        &'a self,
        now: TimeMs,
        keepers: Option<&'a Permits>,
    ) -> Option<Chooser<'a>> {
        Some(Chooser {
            now,
            cluster: self.cluster.as_ref()?,
            endpoints: &self.endpoints,
            notices: &self.notices,
            settings: &self.settings,
            keepers,
        })
    }

    /// Counts a request at its upstream and in the retry budget, and sends it.
    pub(super) fn send(
        &mut self,
        now: TimeMs,
        request: &Request,
        service: ServiceName,
        upstream: Arc<DiscoveredUpstream>,
        permit: Option<Permit>,
    ) -> PoolOutput {
        if request.is_repeat && !self.budget.take(now, &service) {
            return refuse(request, Refusal::Budget);
        }
        let daemons = self.cluster.as_ref().map_or(1, |cluster| cluster.daemons);
        let entry = &upstream.entry;
        let endpoint = self.endpoints.entry(entry.name.clone());
        let endpoint = endpoint.or_insert_with(|| Endpoint::new(entry.born, entry.slots, daemons));
        if endpoint.born() != entry.born {
            *endpoint = Endpoint::new(entry.born, entry.slots, daemons);
        }
        endpoint.record_sent(now, permit.is_some());
        PoolOutput::Send {
            id: request.id,
            service,
            resets_connections: endpoint.resets_connections(now),
            upstream,
            permit,
        }
    }

    /// Queues a request, or refuses it if it would wait in vain.
    fn enqueue(
        &mut self,
        now: TimeMs,
        request: Request,
        service: ServiceName,
        refusal: Refusal,
        outputs: &mut Vec<PoolOutput>,
    ) {
        let wait_ms = wait_ms(&request, refusal);
        let expires_at = now.after(wait_ms).min(request.give_up_at);
        if expires_at <= now || self.would_wait_too_long(now, &request, &service, wait_ms) {
            outputs.push(refuse(&request, refusal));
            return;
        }
        let queue = self.queues.entry(service.clone()).or_default();
        if let Err(queued) = queue.push(QueuedRequest {
            request,
            service,
            expires_at,
        }) {
            outputs.push(refuse(&queued.request, Refusal::Busy));
        }
    }

    /// Returns whether the requests ahead in the queue would take all the time that this request
    /// may wait.
    fn would_wait_too_long(
        &self,
        now: TimeMs,
        request: &Request,
        service: &ServiceName,
        wait_ms: u64,
    ) -> bool {
        let (Some(queue), Some(cluster)) = (self.queues.get(service), &self.cluster) else {
            return false;
        };
        let owner = |request: &Request| {
            let key = request.key?;
            let found = cluster.ranges.get(service)?.find(key)?;
            Some(found.owner.upstream.clone())
        };
        let at_least_as_urgent = queue
            .iter()
            .filter(|other| other.request.route.rank <= request.route.rank);
        if let Some(name) = owner(request) {
            let ahead =
                at_least_as_urgent.filter(|other| owner(&other.request).as_ref() == Some(&name));
            let rounds = ahead.count() as f64 + 1.0;
            return self.endpoints.get(&name).is_some_and(|endpoint| {
                !endpoint.is_backing_off(now)
                    && rounds * endpoint.mean_latency_ms() > wait_ms as f64
            });
        }
        let upstreams = cluster.upstreams.of(service);
        let route_latency_ms = self.route_latencies_ms.get(&request.route.name);
        let route_latency_ms = route_latency_ms.map_or(0.0, RouteLatency::mean_ms);
        let rounds = (at_least_as_urgent.count() as f64 + 1.0) / upstreams.len().max(1) as f64;
        rounds * route_latency_ms > wait_ms as f64
    }

    /// Records an announcement, and finds other upstreams for the requests that wait.
    fn record_notice(
        &mut self,
        now: TimeMs,
        upstream: Arc<DiscoveredUpstream>,
        notice: UpstreamNotice,
        outputs: &mut Vec<PoolOutput>,
    ) {
        let resume_delay_ms = self.resume_delay_ms();
        if !self.notices.record(now, &upstream, notice, resume_delay_ms) {
            return;
        }
        let entry = &upstream.entry;
        if notice.pause_ms.is_some()
            && let Some(endpoint) = self.endpoints.get_mut(&entry.name)
            && endpoint.born() == entry.born
        {
            endpoint.restart_limit();
        }
        let service = entry.service.clone();
        outputs.push(PoolOutput::Withdraw { upstream, notice });
        self.serve_queue(now, &service, outputs);
    }

    /// Returns how much later than asked this daemon ends a pause, in milliseconds, so that the
    /// daemons resume one after the other.
    fn resume_delay_ms(&self) -> u64 {
        let daemons = self.cluster.as_ref().map_or(1, |cluster| cluster.daemons);
        let spread_ms = u64::from(daemons).saturating_mul(RESUME_INTERVAL_MS);
        self.settings.seed % spread_ms.clamp(1, RESUME_SPREAD_MAX_MS)
    }

    fn record_outcome(
        &mut self,
        now: TimeMs,
        upstream: &DiscoveredUpstream,
        route: &Route,
        verdict: Verdict,
        took_ms: u64,
    ) {
        let latency = self.route_latencies_ms.entry(route.name.clone());
        let latency = latency.or_default();
        if matches!(verdict, Verdict::Served) {
            latency.record(took_ms);
        }
        let route_latency_ms = latency.mean_ms();
        if let Some(endpoint) = self.endpoints.get_mut(&upstream.entry.name)
            && endpoint.born() == upstream.entry.born
        {
            endpoint.record_outcome(now, verdict, took_ms, route.objective_ms, route_latency_ms);
        }
    }

    /// Adopts a new state of the deployment and drops upstreams that have ended.
    fn set_cluster(&mut self, now: TimeMs, cluster: ClusterState, outputs: &mut Vec<PoolOutput>) {
        self.budget.set_daemons(cluster.daemons);
        self.endpoints.retain(|name, endpoint| {
            cluster
                .upstreams
                .get(name)
                .is_some_and(|found| found.entry.born == endpoint.born())
        });
        self.notices.retain(now, &cluster.upstreams);
        if self.route_latencies_ms.len() > ROUTES_MAX {
            self.route_latencies_ms.clear();
        }
        let known = self.cluster.as_ref();
        let has_changed = known.is_none_or(|known| {
            !Arc::ptr_eq(&known.upstreams, &cluster.upstreams)
                || !Arc::ptr_eq(&known.keepers, &cluster.keepers)
                || !Arc::ptr_eq(&known.evacuated, &cluster.evacuated)
        });
        self.cluster = Some(cluster);
        if has_changed {
            self.adopt_keepers(now, outputs);
        }
        self.check_queues(now, outputs);
    }

    fn check_queues(&mut self, now: TimeMs, outputs: &mut Vec<PoolOutput>) {
        let services: Vec<ServiceName> = self.queues.keys().cloned().collect();
        for service in services {
            self.serve_queue(now, &service, outputs);
        }
    }

    /// Sends the queued requests of a service that have an upstream now, and refuses those whose
    /// time is over.
    fn serve_queue(&mut self, now: TimeMs, service: &ServiceName, outputs: &mut Vec<PoolOutput>) {
        let Some(mut queue) = self.queues.remove(service) else {
            return;
        };
        let mut index = 0;
        loop {
            let choice = queue.iter().nth(index).map(|queued| {
                (
                    self.choose(now, &queued.request, service),
                    queued.expires_at,
                )
            });
            match choice {
                None => break,
                Some((Choice::Upstream(upstream), _)) => {
                    if let Some(queued) = queue.take(index) {
                        let QueuedRequest {
                            request, service, ..
                        } = queued;
                        let attempts = AskAttempts::default();
                        self.ask_or_send(now, request, service, upstream, attempts, outputs);
                    }
                }
                Some((Choice::Blocked { until }, expires_at))
                    if until.is_none_or(|until| until >= expires_at) =>
                {
                    let blocked = queue.take(index);
                    outputs
                        .extend(blocked.map(|queued| refuse_blocked(now, &queued.request, until)));
                }
                Some((Choice::Evacuated, _)) => {
                    let evacuated = queue.take(index);
                    outputs.extend(evacuated.map(|queued| refuse_evacuated(&queued.request)));
                }
                Some((Choice::Wait(_) | Choice::Blocked { .. }, _)) => index += 1,
            }
        }
        for queued in queue.expire(now) {
            let refusal = match self.choose(now, &queued.request, service) {
                Choice::Wait(refusal) => refusal,
                Choice::Blocked { .. } => Refusal::Announced,
                Choice::Evacuated => Refusal::Evacuated,
                Choice::Upstream(_) => Refusal::Busy,
            };
            outputs.push(refuse(&queued.request, refusal));
        }
        if queue.len() > 0 {
            self.queues.insert(service.clone(), queue);
        }
    }
}

/// Returns how long a request may be queued, in milliseconds.
fn wait_ms(request: &Request, refusal: Refusal) -> u64 {
    let percent = match refusal {
        Refusal::NoOwner => OWNER_WAIT_PERCENT,
        Refusal::NoUpstream
        | Refusal::Busy
        | Refusal::Budget
        | Refusal::Announced
        | Refusal::Evacuated => WAIT_PERCENT,
    };
    request.route.objective_ms * percent / 100
}

/// Refuses a request whose upstreams are all in evacuated zones.
fn refuse_evacuated(request: &Request) -> PoolOutput {
    let spread_ms = EVACUATED_RETRY_MS * RETURN_SPREAD_PERCENT / 100;
    PoolOutput::Refuse {
        id: request.id,
        refusal: Refusal::Evacuated,
        retry_after_ms: EVACUATED_RETRY_MS + spread(request, spread_ms),
    }
}

/// Returns a part of `range_ms` that differs between requests.
const fn spread(request: &Request, range_ms: u64) -> u64 {
    let hash = request.id.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    hash % range_ms
}

/// Refuses a request that no upstream takes before `until`. The callers are told to return a little
/// later, at different times, so that they do not all return at once.
fn refuse_blocked(now: TimeMs, request: &Request, until: Option<TimeMs>) -> PoolOutput {
    let Some(until) = until else {
        return refuse(request, Refusal::Announced);
    };
    let left_ms = until.since(now);
    let spread_ms = (left_ms.saturating_mul(RETURN_SPREAD_PERCENT) / 100)
        .clamp(RETRY_AFTER_MIN_MS, RETURN_SPREAD_MAX_MS);
    PoolOutput::Refuse {
        id: request.id,
        refusal: Refusal::Announced,
        retry_after_ms: left_ms.saturating_add(spread(request, spread_ms)),
    }
}

pub(super) fn refuse(request: &Request, refusal: Refusal) -> PoolOutput {
    let retry_after_ms = (request.route.objective_ms / 4).max(RETRY_AFTER_MIN_MS);
    PoolOutput::Refuse {
        id: request.id,
        refusal,
        retry_after_ms,
    }
}

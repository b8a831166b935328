//! A pool whose upstreams announce that they leave or want a pause.

use super::keyed::{service, upstream};
use balsam_decide::budget::BudgetTerms;
use balsam_decide::directory::{DiscoveredUpstream, Upstreams};
use balsam_decide::pool::{
    ClusterState, EndReport, Pool, PoolInput, PoolOutput, PoolSettings, Refusal, Request,
    RequestId, UpstreamNotice, Verdict,
};
use balsam_decide::room::KeeperList;
use balsam_decide::routing::RouteTable;
use balsam_types::{
    Assignment, CallerLimits, ConfigVersion, FencingToken, KeyRange, Owner, Route, RouteKind,
    RouteName, RoutingConfig, ServicePolicy, ServiceRanges, ServiceShare, ShardKey, StartTime,
    TimeMs, UpstreamState, WarmupTerms, ZoneName, new_map,
};
use std::sync::Arc;

/// How long leaving upstreams take requests that no other one can run.
pub const DRAIN_MS: u64 = 2_000;

/// Daemons for each slot of an upstream from which on known keepers are asked.
const DAEMONS_PER_SLOT: u32 = 8;

/// The latency objective of the route.
const OBJECTIVE_MS: u64 = 1_000;

pub const LEAVING: UpstreamNotice = UpstreamNotice {
    is_leaving: true,
    pause_ms: None,
};

pub const fn pause(pause_ms: u64) -> UpstreamNotice {
    UpstreamNotice {
        is_leaving: false,
        pause_ms: Some(pause_ms),
    }
}

/// What the pool decided on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Sent to the upstream with this name.
    Sent(String),
    Refused {
        refusal: Refusal,
        retry_after_ms: u64,
    },
    Queued,
}

pub fn sent(name: &str) -> Decision {
    Decision::Sent(name.to_owned())
}

/// A pool, its upstreams and the time.
pub struct Sim {
    pub pool: Pool,
    pub route: Arc<Route>,
    pub now: TimeMs,
    pub cluster: ClusterState,
    last_id: u64,
}

impl Sim {
    pub fn new(numbers: &[u16], is_keyed: bool) -> Self {
        Self::with_daemons(numbers, is_keyed, 1, 0)
    }

    /// Creates the pool of one of several daemons.
    pub fn with_daemons(numbers: &[u16], is_keyed: bool, daemons: u32, seed: u64) -> Self {
        let route = Arc::new(Route {
            name: RouteName::new("r").expect("a valid name"),
            host: Arc::from("h.example"),
            prefix: Arc::from("/"),
            kind: RouteKind::Idempotent,
            timeout_ms: 4_000,
            objective_ms: OBJECTIVE_MS,
            rank: 0,
            attempts_max: 2,
            shares: vec![ServiceShare {
                service: service(),
                weight: 1,
            }],
        });
        let cluster = ClusterState {
            table: table(&route, ServicePolicy::new(is_keyed)),
            upstreams: Arc::new(Upstreams::default()),
            ranges: new_map(),
            moved: new_map(),
            daemons,
            keepers: std::sync::Arc::default(),
            evacuated: std::sync::Arc::default(),
        };
        let pool = Pool::new(PoolSettings {
            zone: ZoneName::new("z").expect("a valid name"),
            budget: BudgetTerms {
                ratio: 0.2,
                slack: 60.0,
                window_ms: 10_000,
                daemons,
            },
            drain_ms: DRAIN_MS,
            seed,
            room_daemons_per_slot: DAEMONS_PER_SLOT,
            first_permit_id: 0,
        });
        let mut sim = Self {
            pool,
            route,
            now: TimeMs(100_000),
            cluster,
            last_id: 0,
        };
        sim.list(numbers);
        sim
    }

    /// Sets what cold upstreams tolerate.
    pub fn set_warmup(&mut self, warmup: WarmupTerms) {
        let policy = self.cluster.table.service(&service());
        let policy = policy.expect("a service").clone();
        self.cluster.table = table(&self.route, policy.with_warmup(Some(warmup)));
    }

    /// Sets the daemons that keep the room of upstreams.
    pub fn set_keepers(&mut self, keepers: KeeperList) {
        self.cluster.keepers = Arc::new(keepers);
    }

    /// Lists upstreams as ready, each in its first life.
    pub fn list(&mut self, numbers: &[u16]) {
        let found = numbers
            .iter()
            .map(|number| upstream(*number, UpstreamState::Ready));
        self.list_lives(found.collect());
    }

    pub fn list_lives(&mut self, found: Vec<Arc<DiscoveredUpstream>>) -> Vec<PoolOutput> {
        self.cluster.upstreams = Arc::new(Upstreams::new(found));
        let cluster = PoolInput::Cluster(self.cluster.clone());
        self.pool.handle(self.now, cluster)
    }

    /// Makes an upstream the owner of all keys.
    pub fn own_all(&mut self, number: u16) {
        let entry = &upstream(number, UpstreamState::Ready).entry;
        let mut ranges = ServiceRanges::new(service());
        ranges.assignments.push(Assignment {
            range: KeyRange {
                first: 0,
                last: u16::MAX,
            },
            fence: FencingToken(1),
            owner: Owner {
                upstream: entry.name.clone(),
                born: entry.born,
                address: entry.address,
            },
            former: Vec::new(),
        });
        self.cluster.ranges.insert(service(), Arc::new(ranges));
        let cluster = PoolInput::Cluster(self.cluster.clone());
        self.pool.handle(self.now, cluster);
    }

    pub fn notice(&mut self, number: u16, notice: UpstreamNotice) -> Vec<PoolOutput> {
        let upstream = upstream(number, UpstreamState::Ready);
        self.pool
            .handle(self.now, PoolInput::Notice { upstream, notice })
    }

    pub fn request(&mut self) -> Decision {
        self.last_id += 1;
        let request = Request {
            id: RequestId(self.last_id),
            route: Arc::clone(&self.route),
            service: None,
            key: Some(ShardKey(7)),
            received_at: TimeMs(0),
            caller_deadline: self.now.after(4_000),
            give_up_at: self.now.after(4_000),
            avoid: Vec::new(),
            is_repeat: false,
        };
        let outputs = self.pool.handle(self.now, PoolInput::Request(request));
        let decisions = decisions(&outputs);
        let first = decisions.first();
        first.map_or(Decision::Queued, |(_, decision)| decision.clone())
    }

    /// Sends a request, which is answered at once, and returns where it went.
    pub fn call(&mut self) -> Decision {
        let decision = self.request();
        if let Decision::Sent(name) = &decision {
            let number = name[1..].parse().expect("a number");
            self.end(number, Verdict::Served);
        }
        decision
    }

    pub fn end(&mut self, number: u16, verdict: Verdict) -> Vec<PoolOutput> {
        let done = PoolInput::Done {
            upstream: upstream(number, UpstreamState::Ready),
            route: Arc::clone(&self.route),
            verdict,
            took_ms: 5,
            permit: None,
            report: EndReport::default(),
        };
        self.pool.handle(self.now, done)
    }

    pub fn wait(&mut self, ms: u64) -> Vec<(RequestId, Decision)> {
        self.now = self.now.after(ms);
        decisions(&self.pool.handle(self.now, PoolInput::Tick))
    }
}

fn table(route: &Arc<Route>, policy: ServicePolicy) -> Arc<RouteTable> {
    let mut services = new_map();
    services.insert(service(), policy);
    Arc::new(RouteTable::new(RoutingConfig {
        version: ConfigVersion(1),
        routes: vec![Arc::clone(route)],
        services,
        limits: CallerLimits::default(),
    }))
}

pub fn decisions(outputs: &[PoolOutput]) -> Vec<(RequestId, Decision)> {
    let decisions = outputs.iter().filter_map(|output| match output {
        PoolOutput::Send { id, upstream, .. } => Some((*id, sent(upstream.entry.name.as_str()))),
        PoolOutput::Refuse {
            id,
            refusal,
            retry_after_ms,
        } => Some((
            *id,
            Decision::Refused {
                refusal: *refusal,
                retry_after_ms: *retry_after_ms,
            },
        )),
        PoolOutput::Withdraw { .. } | PoolOutput::Room { .. } => None,
    });
    decisions.collect()
}

/// Returns an upstream as it is listed in one of its lives.
pub fn life(number: u16, born: u64) -> Arc<DiscoveredUpstream> {
    let mut found = DiscoveredUpstream::clone(&upstream(number, UpstreamState::Ready));
    found.entry.born = StartTime(born);
    Arc::new(found)
}

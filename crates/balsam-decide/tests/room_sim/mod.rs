//! Services, upstreams, lists of keepers and messages for tests of permits.

#![allow(dead_code, reason = "each test file uses a part of the module")]

pub mod fleet;

use balsam_decide::budget::BudgetTerms;
use balsam_decide::directory::{DiscoveredUpstream, Upstreams};
use balsam_decide::pace::PaceOutcome;
use balsam_decide::pool::{
    ClusterState, Pool, PoolInput, PoolOutput, PoolSettings, Request, RequestId,
};
use balsam_decide::room::{
    GroupId, GroupLayout, Keeper, KeeperDaemon, KeeperInput, KeeperList, KeeperOutput,
    PermitAnswer, PermitId, PermitRequest, PermitReturn, PermitScope, RoomLoad, RoomMessage,
};
use balsam_decide::routing::RouteTable;
use balsam_types::{
    CallerLimits, ConfigVersion, Route, RouteKind, RouteName, RoutingConfig, ServiceName,
    ServicePolicy, ServiceShare, ShardKey, StartTime, TimeMs, UpstreamEntry, UpstreamName,
    UpstreamState, WarmupTerms, ZoneName, new_map,
};
use std::net::SocketAddr;
use std::sync::Arc;

/// Slots of each upstream, as in the deployments of the page.
pub const SLOTS: u32 = 3;

/// Usual response time, objective and deadline of requests, in milliseconds: a lookup of the page.
pub const USUAL_MS: u32 = 220;
pub const OBJECTIVE_MS: u32 = 800;
pub const DEADLINE_MS: u32 = 2_000;

pub fn service() -> ServiceName {
    ServiceName::new("lookup").expect("a valid name")
}

pub fn zone(number: u16) -> ZoneName {
    ZoneName::new(format!("z{number}")).expect("a valid name")
}

/// Returns where a daemon receives datagrams.
pub fn daemon(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

/// Returns one run of an upstream.
pub fn upstream_run(number: u16, zone_number: u16, born: u64) -> Arc<DiscoveredUpstream> {
    Arc::new(DiscoveredUpstream {
        entry: UpstreamEntry {
            name: UpstreamName::new(format!("u{number}")).expect("a valid name"),
            born: StartTime(born),
            service: service(),
            zone: zone(zone_number),
            address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
            slots: SLOTS,
            state: UpstreamState::Ready,
            warmup_left_ms: 0,
        },
        warmup_ends_at: TimeMs(0),
    })
}

pub fn upstream(number: u16, zone_number: u16) -> Arc<DiscoveredUpstream> {
    upstream_run(number, zone_number, 1)
}

pub fn route(rank: u32) -> Arc<Route> {
    Arc::new(Route {
        name: RouteName::new(format!("r{rank}")).expect("a valid name"),
        host: Arc::from("h.example"),
        prefix: Arc::from("/"),
        kind: RouteKind::Idempotent,
        timeout_ms: u64::from(DEADLINE_MS),
        objective_ms: u64::from(OBJECTIVE_MS),
        rank,
        attempts_max: 2,
        shares: vec![ServiceShare {
            service: service(),
            weight: 1,
        }],
    })
}

/// Returns the state of a deployment with these upstreams and keepers.
pub fn cluster(
    upstreams: &[Arc<DiscoveredUpstream>],
    is_keyed: bool,
    daemons: u32,
    keepers: &KeeperList,
) -> ClusterState {
    let mut policy = ServicePolicy::new(is_keyed);
    // 3.3 requests per second for 3 s, as in a deployment of the page.
    policy.warmup = Some(WarmupTerms {
        duration_ms: 3_000,
        interval_us: 303_030,
    });
    let mut services = new_map();
    services.insert(service(), policy);
    let config = RoutingConfig {
        version: ConfigVersion(1),
        routes: vec![route(0)],
        services,
        limits: CallerLimits::default(),
    };
    ClusterState {
        table: Arc::new(RouteTable::new(config)),
        upstreams: Arc::new(Upstreams::new(upstreams.iter().cloned())),
        ranges: new_map(),
        moved: new_map(),
        daemons,
        keepers: Arc::new(keepers.clone()),
        evacuated: Arc::default(),
    }
}

/// Returns a list of keepers, each a daemon and its zone.
pub fn keeper_list(number: u64, keepers: &[(u16, u16)]) -> KeeperList {
    let keepers = keepers.iter().map(|(number, zone_number)| KeeperDaemon {
        address: daemon(*number),
        zone: zone(*zone_number),
        weight: 50,
    });
    KeeperList {
        lead: 1,
        number,
        keepers: keepers.collect(),
    }
}

/// A request for a permit, as a keeper sees it.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    pub id: u64,
    pub rank: u32,
    pub objective_left_ms: u32,
    pub deadline_left_ms: u32,
}

pub const fn ask(id: u64, rank: u32) -> Ask {
    Ask {
        id,
        rank,
        objective_left_ms: OBJECTIVE_MS,
        deadline_left_ms: DEADLINE_MS,
    }
}

/// One keeper, daemon 0, and the upstreams of its zone. Daemon 1 asks it.
pub struct Bench {
    pub keeper: Keeper,
    pub now: TimeMs,
    pub upstreams: Vec<Arc<DiscoveredUpstream>>,
}

impl Bench {
    /// Creates the keeper of some upstreams.
    pub fn new(upstreams: u16) -> Self {
        let now = TimeMs(100_000);
        let mut bench = Self {
            keeper: Keeper::new(now, daemon(0)),
            now,
            upstreams: Vec::new(),
        };
        bench.list((0..upstreams).map(|number| upstream(number, 0)).collect());
        bench.keepers(&keeper_list(1, &[(0, 0)]));
        bench
    }

    /// Lists the upstreams that are known.
    pub fn list(&mut self, upstreams: Vec<Arc<DiscoveredUpstream>>) -> Vec<KeeperOutput> {
        self.upstreams = upstreams;
        let cluster = cluster(&self.upstreams, false, 59, &KeeperList::default());
        self.keeper.handle(self.now, KeeperInput::Cluster(cluster))
    }

    pub fn keepers(&mut self, list: &KeeperList) -> Vec<KeeperOutput> {
        self.keeper
            .handle(self.now, KeeperInput::Keepers(list.clone()))
    }

    pub fn group(&self) -> GroupId {
        let layout = GroupLayout::new(&Upstreams::new(self.upstreams.iter().cloned()));
        layout.group_of(&self.upstreams[0].entry)
    }

    pub fn ask_in(&mut self, group: GroupId, ask: Ask) -> Vec<(u64, PermitAnswer)> {
        self.ask_except(group, ask, Vec::new())
    }

    /// Asks for a permit for any upstream of a group but some.
    pub fn ask_except(
        &mut self,
        group: GroupId,
        ask: Ask,
        avoid: Vec<UpstreamName>,
    ) -> Vec<(u64, PermitAnswer)> {
        let request = PermitRequest {
            id: PermitId(ask.id),
            group,
            scope: PermitScope::Any { avoid },
            rank: ask.rank,
            objective_left_ms: ask.objective_left_ms,
            deadline_left_ms: ask.deadline_left_ms,
            usual_ms: USUAL_MS,
        };
        answers(&self.message(RoomMessage::Ask(request)))
    }

    pub fn ask(&mut self, ask: Ask) -> Vec<(u64, PermitAnswer)> {
        self.ask_in(self.group(), ask)
    }

    /// Takes all slots of `upstreams` with requests numbered from `first`.
    pub fn fill(&mut self, first: u64, upstreams: u64) {
        for id in first..first + upstreams * u64::from(SLOTS) {
            let answers = self.ask(ask(id, 0));
            assert!(
                matches!(answers[..], [(_, PermitAnswer::Granted { .. })]),
                "{answers:?}"
            );
        }
    }

    /// Returns a permit after its request was answered, and returns the requests that are granted
    /// thereupon.
    pub fn finish(&mut self, id: u64) -> Vec<u64> {
        let returned = PermitReturn {
            id: PermitId(id),
            outcome: PaceOutcome::Answered {
                took_ms: USUAL_MS,
                usual_ms: USUAL_MS,
            },
            pause_ms: None,
            load: None,
        };
        granted(&self.message(RoomMessage::Return(vec![returned])))
    }

    pub fn message(&mut self, message: RoomMessage) -> Vec<KeeperOutput> {
        let from = daemon(1);
        self.keeper
            .handle(self.now, KeeperInput::Message { from, message })
    }

    pub fn wait(&mut self, ms: u64) -> Vec<KeeperOutput> {
        self.now = self.now.after(ms);
        self.keeper.handle(self.now, KeeperInput::Tick)
    }
}

/// Returns the pool of a daemon in zone 0 of a large deployment.
pub fn pool(now: TimeMs, cluster: ClusterState) -> Pool {
    let mut pool = Pool::new(PoolSettings {
        zone: zone(0),
        budget: BudgetTerms {
            ratio: 0.2,
            slack: 60.0,
            window_ms: 10_000,
            daemons: cluster.daemons,
        },
        drain_ms: 2_000,
        seed: 0,
        room_daemons_per_slot: 8,
        first_permit_id: 0,
    });
    pool.handle(now, PoolInput::Cluster(cluster));
    pool
}

/// Returns a new request whose caller waits for a time.
pub fn request(now: TimeMs, id: u64, wait_ms: u64) -> Request {
    Request {
        id: RequestId(id),
        route: route(0),
        service: None,
        key: Some(ShardKey(7)),
        received_at: now,
        caller_deadline: now.after(wait_ms),
        give_up_at: now.after(wait_ms.min(u64::from(DEADLINE_MS))),
        avoid: Vec::new(),
        is_repeat: false,
    }
}

/// Returns an answer of a keeper.
pub fn answer(keeper: u16, id: PermitId, answer: PermitAnswer) -> PoolInput {
    PoolInput::Room {
        from: daemon(keeper),
        message: RoomMessage::Answer {
            id,
            answer,
            load: RoomLoad::default(),
            acknowledged: Vec::new(),
        },
    }
}

pub fn grant(upstream: &DiscoveredUpstream) -> PermitAnswer {
    PermitAnswer::Granted {
        upstream: upstream.entry.name.clone(),
        born: upstream.entry.born,
    }
}

/// Returns the requests for permits among decisions of a pool.
pub fn asked(outputs: &[PoolOutput]) -> Vec<PermitRequest> {
    let asked = outputs.iter().filter_map(|output| match output {
        PoolOutput::Room {
            message: RoomMessage::Ask(request),
            ..
        } => Some(request.clone()),
        _ => None,
    });
    asked.collect()
}

/// Returns the permits that a pool returns.
pub fn returned(outputs: &[PoolOutput]) -> Vec<PermitId> {
    let returned = outputs.iter().filter_map(|output| match output {
        PoolOutput::Room {
            message: RoomMessage::Return(returns),
            ..
        } => Some(returns.iter().map(|returned| returned.id)),
        _ => None,
    });
    returned.flatten().collect()
}

/// Returns how many requests a pool sends, and how many it refuses.
pub fn decided(outputs: &[PoolOutput]) -> (usize, usize) {
    let sent = |output: &&PoolOutput| matches!(output, PoolOutput::Send { .. });
    let refused = |output: &&PoolOutput| matches!(output, PoolOutput::Refuse { .. });
    (
        outputs.iter().filter(sent).count(),
        outputs.iter().filter(refused).count(),
    )
}

/// Returns the answers to requests for permits.
pub fn answers(outputs: &[KeeperOutput]) -> Vec<(u64, PermitAnswer)> {
    let answers = outputs.iter().filter_map(|output| match &output.message {
        RoomMessage::Answer { id, answer, .. } => Some((id.0, answer.clone())),
        _ => None,
    });
    answers.collect()
}

/// Returns the requests that got a permit.
pub fn granted(outputs: &[KeeperOutput]) -> Vec<u64> {
    let answers = answers(outputs).into_iter();
    let granted = answers.filter(|(_, answer)| matches!(answer, PermitAnswer::Granted { .. }));
    granted.map(|(id, _)| id).collect()
}

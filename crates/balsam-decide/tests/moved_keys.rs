//! Tests when requests for moving keys are sent to the next owner.

mod keyed;

use balsam_decide::budget::BudgetTerms;
use balsam_decide::directory::Upstreams;
use balsam_decide::keys::{
    Assigner, AssignerInput, AssignerOutput, Commit, CommitResult, GrantTiming, OrderKind,
    OrderResult, RowVersion, StoredLead,
};
use balsam_decide::pool::{
    ClusterState, Pool, PoolInput, PoolOutput, PoolSettings, Request, RequestId,
};
use balsam_decide::routing::RouteTable;
use balsam_types::{
    Assignment, CallerLimits, ConfigVersion, FencingToken, Route, RouteKind, RouteName,
    RoutingConfig, ServicePolicy, ServiceRanges, ServiceShare, Set, ShardKey, TimeMs,
    UpstreamState, ZoneName, new_map, new_set,
};
use keyed::{cluster, daemon, service, upstream};
use std::sync::Arc;

const STEP_MS: u64 = 50;

/// A leader with two upstreams whose orders succeed at once.
struct LeaderSim {
    assigner: Assigner,
    now: TimeMs,
    version: u64,
    ranges: Option<Arc<ServiceRanges>>,
    /// Whether the store accepts the next commit that moves keys and fails all later commits.
    fails_commits_after_move: bool,
    is_store_down: bool,
    moved: Set<FencingToken>,
}

impl LeaderSim {
    fn start() -> Self {
        let now = TimeMs(100_000);
        let mut sim = Self {
            assigner: Assigner::new(now, daemon(0), GrantTiming::new(10_000), 0),
            now,
            version: 0,
            ranges: None,
            fails_commits_after_move: false,
            is_store_down: false,
            moved: new_set(),
        };
        sim.deliver(AssignerInput::Lead(StoredLead {
            version: RowVersion(0),
            leader: None,
        }));
        sim.set_first_upstream_state(UpstreamState::Ready);
        sim.run(3_000);
        sim
    }

    /// Sends the list of upstreams with the first one in `state`.
    fn set_first_upstream_state(&mut self, state: UpstreamState) {
        let upstreams = [upstream(1, state), upstream(2, UpstreamState::Ready)];
        self.deliver(cluster(upstreams));
    }

    fn run(&mut self, length_ms: u64) {
        for _ in 0..length_ms / STEP_MS {
            self.now = self.now.after(STEP_MS);
            self.deliver(AssignerInput::Tick);
        }
    }

    fn deliver(&mut self, input: AssignerInput) {
        for output in self.assigner.handle(self.now, input) {
            if let Some(reply) = self.reply(output) {
                self.deliver(reply);
            }
        }
    }

    fn reply(&mut self, output: AssignerOutput) -> Option<AssignerInput> {
        let reply = match output {
            AssignerOutput::Commit(_) if self.is_store_down => {
                AssignerInput::Committed(CommitResult::Failed)
            }
            AssignerOutput::Commit(commit) => {
                if let Commit::Assign { ranges, .. } = commit {
                    let is_move = ranges.assignments.iter().any(Assignment::is_moving);
                    self.is_store_down = self.fails_commits_after_move && is_move;
                    self.ranges = Some(ranges);
                }
                self.version += 1;
                AssignerInput::Committed(CommitResult::Done(RowVersion(self.version)))
            }
            AssignerOutput::Reload => AssignerInput::Reloaded,
            AssignerOutput::Confirm => AssignerInput::Confirmed {
                asked_at: self.now,
                version: Some(self.assigner.lead_version()),
            },
            AssignerOutput::Order(order) => AssignerInput::Ordered {
                id: order.id,
                result: match order.kind {
                    OrderKind::Release => OrderResult::Released { handover: None },
                    OrderKind::Grant { .. } => OrderResult::Granted,
                },
            },
            AssignerOutput::Moved { fence, .. } => {
                self.moved.insert(fence);
                return None;
            }
        };
        Some(reply)
    }
}

/// Guards against requests that wait although the next owner holds the keys, because the store does
/// not accept the commit that ends the move.
#[test]
fn moved_without_store() {
    let mut sim = LeaderSim::start();
    assert!(
        sim.moved.is_empty(),
        "first grants must not be announced as moves"
    );
    sim.fails_commits_after_move = true;
    sim.set_first_upstream_state(UpstreamState::Draining);
    sim.run(1_000);
    let ranges = sim.ranges.clone().expect("assignments");
    let moving = ranges.assignments.iter().filter(|found| found.is_moving());
    let moving: Set<FencingToken> = moving.map(|found| found.fence).collect();
    assert!(sim.is_store_down && !moving.is_empty());
    assert_eq!(sim.moved, moving);
}

/// Returns a configuration with one route to the keyed service.
fn config() -> RoutingConfig {
    let route = Route {
        name: RouteName::new("r").expect("a valid name"),
        host: Arc::from("h.example"),
        prefix: Arc::from("/"),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 400,
        rank: 0,
        attempts_max: 2,
        shares: vec![ServiceShare {
            service: service(),
            weight: 1,
        }],
    };
    let mut services = new_map();
    services.insert(service(), ServicePolicy::new(true));
    RoutingConfig {
        version: ConfigVersion(1),
        routes: vec![Arc::new(route)],
        services,
        limits: CallerLimits::default(),
    }
}

/// Guards against requests for moving keys that are sent before the next owner holds the keys, or
/// that still wait afterwards.
#[test]
fn waits_for_move() {
    let mut sim = LeaderSim::start();
    sim.fails_commits_after_move = true;
    sim.set_first_upstream_state(UpstreamState::Draining);
    let ranges = sim.ranges.clone().expect("assignments");
    let moving = ranges.assignments.iter().find(|found| found.is_moving());
    let moving = moving.expect("a range of the draining upstream");
    let config = config();
    let route = Arc::clone(&config.routes[0]);
    let mut cluster_state = ClusterState {
        table: Arc::new(RouteTable::new(config)),
        upstreams: Arc::new(Upstreams::new([upstream(2, UpstreamState::Ready)])),
        ranges: new_map(),
        moved: new_map(),
        daemons: 1,
        keepers: std::sync::Arc::default(),
        evacuated: std::sync::Arc::default(),
    };
    cluster_state.ranges.insert(service(), Arc::clone(&ranges));
    let mut pool = Pool::new(PoolSettings {
        zone: ZoneName::new("z").expect("a valid name"),
        budget: BudgetTerms {
            ratio: 0.2,
            slack: 60.0,
            window_ms: 10_000,
            daemons: 1,
        },
        drain_ms: 2_000,
        seed: 0,
        room_daemons_per_slot: 0,
        first_permit_id: 0,
    });
    pool.handle(TimeMs(0), PoolInput::Cluster(cluster_state.clone()));
    let request = Request {
        id: RequestId(1),
        route,
        service: None,
        key: Some(ShardKey(moving.range.first)),
        received_at: TimeMs(0),
        caller_deadline: TimeMs(1_000),
        give_up_at: TimeMs(1_000),
        avoid: Vec::new(),
        is_repeat: false,
    };
    assert!(
        pool.handle(TimeMs(10), PoolInput::Request(request))
            .is_empty()
    );
    let fences: Set<FencingToken> = [moving.fence].into_iter().collect();
    cluster_state.moved.insert(service(), Arc::new(fences));
    let outputs = pool.handle(TimeMs(20), PoolInput::Cluster(cluster_state));
    assert!(
        matches!(outputs.as_slice(), [PoolOutput::Send { .. }]),
        "{outputs:?}"
    );
}

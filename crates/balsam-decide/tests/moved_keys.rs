//! Guards when requests for moving keys go to their next owner.

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
use keyed::{daemon, service, upstream, world};
use std::sync::Arc;

const STEP_MS: u64 = 50;

/// A leader of two upstreams whose orders succeed at once.
struct Played {
    assigner: Assigner,
    now: TimeMs,
    version: u64,
    ranges: Option<Arc<ServiceRanges>>,
    /// Whether the store takes no commit after the next one of moving keys.
    loses_store: bool,
    is_store_away: bool,
    moved: Set<FencingToken>,
}

impl Played {
    fn start() -> Self {
        let now = TimeMs(100_000);
        let mut played = Self {
            assigner: Assigner::new(now, daemon(0), GrantTiming::new(10_000), 0),
            now,
            version: 0,
            ranges: None,
            loses_store: false,
            is_store_away: false,
            moved: new_set(),
        };
        played.give(AssignerInput::Lead(StoredLead {
            version: RowVersion(0),
            leader: None,
        }));
        played.tell_world(UpstreamState::Ready);
        played.play(3_000);
        played
    }

    /// Tells of the upstreams, the first of which is in `state`.
    fn tell_world(&mut self, state: UpstreamState) {
        let upstreams = [upstream(1, state), upstream(2, UpstreamState::Ready)];
        self.give(world(upstreams));
    }

    fn play(&mut self, length_ms: u64) {
        for _ in 0..length_ms / STEP_MS {
            self.now = self.now.after(STEP_MS);
            self.give(AssignerInput::Tick);
        }
    }

    fn give(&mut self, input: AssignerInput) {
        for output in self.assigner.handle(self.now, input) {
            if let Some(answer) = self.answer(output) {
                self.give(answer);
            }
        }
    }

    fn answer(&mut self, output: AssignerOutput) -> Option<AssignerInput> {
        let answer = match output {
            AssignerOutput::Commit(_) if self.is_store_away => {
                AssignerInput::Committed(CommitResult::Failed)
            }
            AssignerOutput::Commit(commit) => {
                if let Commit::Assign { ranges, .. } = commit {
                    let is_move = ranges.assignments.iter().any(Assignment::is_moving);
                    self.is_store_away = self.loses_store && is_move;
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
        Some(answer)
    }
}

/// Guards against keys that nobody is asked for although their next owner has them, because the
/// store does not take the commit that ends the move.
#[test]
fn told_without_store() {
    let mut played = Played::start();
    assert!(played.moved.is_empty(), "first grants are no moves");
    played.loses_store = true;
    played.tell_world(UpstreamState::Draining);
    played.play(1_000);
    let ranges = played.ranges.clone().expect("assignments");
    let moving = ranges.assignments.iter().filter(|found| found.is_moving());
    let moving: Set<FencingToken> = moving.map(|found| found.fence).collect();
    assert!(played.is_store_away && !moving.is_empty());
    assert_eq!(played.moved, moving);
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
    services.insert(service(), ServicePolicy { is_keyed: true });
    RoutingConfig {
        version: ConfigVersion(1),
        routes: vec![Arc::new(route)],
        services,
        limits: CallerLimits::default(),
    }
}

/// Guards that requests for moving keys wait until their next owner has them, and go there then.
#[test]
fn waits_for_news() {
    let mut played = Played::start();
    played.loses_store = true;
    played.tell_world(UpstreamState::Draining);
    let ranges = played.ranges.clone().expect("assignments");
    let moving = ranges.assignments.iter().find(|found| found.is_moving());
    let moving = moving.expect("a range of the draining upstream");
    let config = config();
    let route = Arc::clone(&config.routes[0]);
    let mut beliefs = ClusterState {
        table: Arc::new(RouteTable::new(config)),
        upstreams: Arc::new(Upstreams::new([upstream(2, UpstreamState::Ready)])),
        ranges: new_map(),
        moved: new_map(),
        daemons: 1,
    };
    beliefs.ranges.insert(service(), Arc::clone(&ranges));
    let mut pool = Pool::new(PoolSettings {
        zone: ZoneName::new("z").expect("a valid name"),
        budget: BudgetTerms {
            ratio: 0.2,
            slack: 60.0,
            window_ms: 10_000,
            daemons: 1,
        },
    });
    pool.handle(TimeMs(0), PoolInput::Cluster(beliefs.clone()));
    let ask = Request {
        id: RequestId(1),
        route,
        service: None,
        key: Some(ShardKey(moving.range.first)),
        give_up_at: TimeMs(1_000),
        avoid: Vec::new(),
        is_repeat: false,
    };
    assert!(pool.handle(TimeMs(10), PoolInput::Request(ask)).is_empty());
    let fences: Set<FencingToken> = [moving.fence].into_iter().collect();
    beliefs.moved.insert(service(), Arc::new(fences));
    let outputs = pool.handle(TimeMs(20), PoolInput::Cluster(beliefs));
    assert!(
        matches!(outputs.as_slice(), [PoolOutput::Send { .. }]),
        "{outputs:?}"
    );
}

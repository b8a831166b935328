//! Tests when keys of an owner are reassigned after another upstream has taken over its address.

use balsam_decide::directory::{DiscoveredUpstream, Upstreams};
use balsam_decide::keys::{
    Assigner, AssignerInput, AssignerOutput, CommitResult, DaemonIdentity, GrantTiming, OrderKind,
    OrderResult, RowVersion, StoredLead,
};
use balsam_types::{
    DaemonName, Incarnation, KeyRange, ServiceName, StartTime, TimeMs, UpstreamEntry, UpstreamName,
    UpstreamState, ZoneName,
};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;

const STEP_MS: u64 = 50;

/// Start time of the lost owner.
const BORN: u64 = 1_000_000;

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("a valid name")
}

fn upstream(name: &str, service_name: &str, born: u64, port: u16) -> Arc<DiscoveredUpstream> {
    Arc::new(DiscoveredUpstream {
        entry: UpstreamEntry {
            name: UpstreamName::new(name).expect("a valid name"),
            born: StartTime(born),
            service: service(service_name),
            zone: ZoneName::new("z").expect("a valid name"),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            slots: 3,
            state: UpstreamState::Ready,
            warmup_left_ms: 0,
        },
        warmup_ends_at: TimeMs(0),
    })
}

fn cluster(upstreams: Vec<Arc<DiscoveredUpstream>>) -> AssignerInput {
    AssignerInput::Cluster {
        upstreams: Arc::new(Upstreams::new(upstreams)),
        keyed: vec![service("keyed")],
    }
}

/// A leader whose commits succeed; from 103 s on, the upstream at port 9000 refuses all orders.
struct LeaderSim {
    assigner: Assigner,
    now: TimeMs,
    version: u64,
    /// Ranges granted to the remaining upstream.
    granted: Vec<KeyRange>,
}

impl LeaderSim {
    fn deliver(&mut self, input: AssignerInput) {
        for output in self.assigner.handle(self.now, input) {
            let reply = match output {
                AssignerOutput::Commit(_) => {
                    self.version += 1;
                    AssignerInput::Committed(CommitResult::Done(RowVersion(self.version)))
                }
                AssignerOutput::Reload => AssignerInput::Reloaded,
                AssignerOutput::Moved { .. } => continue,
                AssignerOutput::Confirm => AssignerInput::Confirmed {
                    asked_at: self.now,
                    version: Some(self.assigner.lead_version()),
                },
                AssignerOutput::Order(order) => {
                    let is_lost = self.now >= TimeMs(103_000) && order.to.address.port() == 9_000;
                    let result = match (is_lost, &order.kind) {
                        (true, _) => OrderResult::Refused { status: 400 },
                        (false, OrderKind::Release) => OrderResult::Released { handover: None },
                        (false, OrderKind::Grant { .. }) => {
                            if order.to.address.port() == 9_001 {
                                self.granted.push(order.range);
                            }
                            OrderResult::Granted
                        }
                    };
                    AssignerInput::Ordered {
                        id: order.id,
                        result,
                    }
                }
            };
            self.deliver(reply);
        }
    }

    fn run(&mut self, length_ms: u64) {
        let end = self.now.after(length_ms);
        while self.now < end {
            self.now = self.now.after(STEP_MS);
            self.deliver(AssignerInput::Tick);
        }
    }
}

/// Guards against waiting until the grants of an owner expire although another upstream at its
/// address shows that it has ended, and against reassigning its keys too early. The other upstream
/// shows that only if it started later than the owner by more than the clocks may differ, and its
/// service is not keyed.
#[rstest]
#[case::ended("plain", BORN + 60_000, true)]
#[case::older_entry("plain", BORN - 60_000, false)]
#[case::clocks_differ("plain", BORN + 2_000, false)]
#[case::takes_keys("keyed", BORN + 60_000, false)]
fn address_taken(#[case] service_name: &str, #[case] born: u64, #[case] reassigns_early: bool) {
    let now = TimeMs(100_000);
    let me = DaemonIdentity {
        daemon: DaemonName::new("d1").expect("a valid name"),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
    };
    let mut sim = LeaderSim {
        assigner: Assigner::new(now, me, GrantTiming::new(10_000), 0),
        now,
        version: 0,
        granted: Vec::new(),
    };
    sim.deliver(AssignerInput::Lead(StoredLead {
        version: RowVersion(0),
        leader: None,
    }));
    let lost = upstream("u1", "keyed", BORN, 9_000);
    let other = upstream("u2", "keyed", BORN, 9_001);
    sim.deliver(cluster(vec![lost, Arc::clone(&other)]));
    sim.run(3_000);
    let initial_ranges = std::mem::take(&mut sim.granted);
    sim.deliver(cluster(vec![
        other,
        upstream("x1", service_name, born, 9_000),
    ]));
    sim.run(1_000);
    let has_more = sim
        .granted
        .iter()
        .any(|range| !initial_ranges.contains(range));
    assert_eq!(has_more, reassigns_early);
}

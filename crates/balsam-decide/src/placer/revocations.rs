//! Revocations of units that are on planned moves.

use super::PlacerContext;
use crate::control::ControlState;
use crate::grants::{Revoke, RevokeReply};
use crate::lease::Safeguard;
use crate::node::NodeOutput;
use balsam_types::control::{UnitOwner, UpstreamInfo, UpstreamStatus};
use balsam_types::{Epoch, Map, ServiceName, TimeMs, UnitId, UpstreamName, new_map};
use std::collections::{BTreeMap, BTreeSet};

/// The time after which a revocation without an answer is sent again, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 500;

/// The period at which an upstream is asked whether the requests on revoked units have ended.
const RUNNING_POLL_MS: u64 = 50;

/// A unit that its former owner has freed.
#[derive(Debug)]
struct Acknowledged {
    from: UpstreamName,
    since_epoch: Epoch,
}

/// An answer that has not been compared with the state yet.
#[derive(Debug)]
struct Freed {
    upstream: UpstreamName,
    epoch: Epoch,
    units: Vec<UnitId>,
}

/// The acknowledgements of the moves in progress.
#[derive(Debug)]
pub(super) struct Revocations {
    acknowledged: BTreeMap<(ServiceName, UnitId), Acknowledged>,
    next_at: Map<UpstreamName, TimeMs>,
    freed: Vec<Freed>,
    without: Option<Safeguard>,
}

impl Revocations {
    pub fn new() -> Self {
        Self {
            acknowledged: BTreeMap::new(),
            next_at: new_map(),
            freed: Vec::new(),
            without: None,
        }
    }

    pub const fn without(mut self, safeguard: Safeguard) -> Self {
        self.without = Some(safeguard);
        self
    }

    /// Forgets acknowledgements of moves that have ended.
    pub fn follow(&mut self, state: &ControlState) {
        self.acknowledged.retain(|(service, unit), ack| {
            matches!(
                state.owner_of(service, *unit),
                Some(UnitOwner::Moving { from, since_epoch, .. })
                    if *from == ack.from && *since_epoch == ack.since_epoch
            )
        });
        self.next_at
            .retain(|name, _| state.upstreams.contains_key(name));
    }

    pub fn replied(
        &mut self,
        now: TimeMs,
        upstream: UpstreamName,
        epoch: Epoch,
        units: Vec<UnitId>,
        reply: Option<RevokeReply>,
    ) {
        match reply {
            Some(reply) if reply.running == 0 => {
                self.next_at.remove(&upstream);
                self.freed.push(Freed {
                    upstream,
                    epoch,
                    units,
                });
            }
            Some(_) | None => {
                self.next_at.insert(upstream, now.after(RUNNING_POLL_MS));
            }
        }
    }

    /// Returns whether the unit's former owner has freed it.
    pub fn is_acknowledged(&self, service: &ServiceName, unit: UnitId) -> bool {
        self.acknowledged.contains_key(&(service.clone(), unit))
    }

    /// Returns the revocations to send now.
    ///
    /// A revocation is sent only after a majority has adopted the epoch that suspended the unit: if
    /// the former owner restarts after its acknowledgement and forgets its fence, no daemon can
    /// gain a new right under which it would grant the unit again.
    pub fn due(&mut self, context: &PlacerContext<'_>, moving: &[ServiceName]) -> Vec<NodeOutput> {
        self.settle(context.state);
        let adopted = match self.without {
            Some(Safeguard::AdoptionBeforeRevoke) => context.state.epoch,
            _ => context.adoption.adopted(),
        };
        let mut by_upstream: BTreeMap<&UpstreamName, BTreeSet<UnitId>> = BTreeMap::new();
        for service in moving {
            let placement = context.state.services.get(service);
            for (unit, owner) in placement.into_iter().flat_map(|placement| &placement.units) {
                if let UnitOwner::Moving {
                    from, since_epoch, ..
                } = owner
                    && *since_epoch <= adopted
                    && !self.is_acknowledged(service, *unit)
                {
                    by_upstream.entry(from).or_default().insert(*unit);
                }
            }
        }
        let mut out = Vec::new();
        for (name, units) in by_upstream {
            let Some(upstream) = context.state.upstreams.get(name) else {
                continue;
            };
            let next_at = self.next_at.get(name).copied().unwrap_or_default();
            if !is_revocable(upstream) || context.now < next_at {
                continue;
            }
            self.next_at
                .insert(name.clone(), context.now.after(REPLY_TIMEOUT_MS));
            let epoch = context.state.fence_epoch(name);
            out.push(NodeOutput::SendRevoke {
                upstream: name.clone(),
                address: upstream.address,
                revoke: Revoke { epoch, units },
            });
        }
        out
    }

    /// Compares the answers with the moves in progress.
    ///
    /// An answer to a revocation that is older than the unit's present move does not count for it.
    fn settle(&mut self, state: &ControlState) {
        for freed in std::mem::take(&mut self.freed) {
            let Some(upstream) = state.upstreams.get(&freed.upstream) else {
                continue;
            };
            for unit in freed.units {
                let owner = state.owner_of(&upstream.service, unit);
                let Some(UnitOwner::Moving {
                    from, since_epoch, ..
                }) = owner
                else {
                    continue;
                };
                if *from == freed.upstream && *since_epoch <= freed.epoch {
                    let acknowledged = Acknowledged {
                        from: from.clone(),
                        since_epoch: *since_epoch,
                    };
                    self.acknowledged
                        .insert((upstream.service.clone(), unit), acknowledged);
                }
            }
        }
    }
}

/// Returns whether moves away from `upstream` end with its acknowledgement.
pub(super) fn is_revocable(upstream: &UpstreamInfo) -> bool {
    upstream.checks_grants && upstream.status != UpstreamStatus::Lost
}

//! Revocations of moving units at their former owners.

use super::PlacerContext;
use crate::control::ControlState;
use crate::grants::{Revoke, RevokeReply};
use crate::lease::Safeguard;
use crate::node::NodeOutput;
use balsam_types::control::{UnitOwner, UpstreamInfo, UpstreamStatus};
use balsam_types::{Epoch, Map, ServiceName, TimeMs, UnitId, UpstreamName, new_map};
use std::collections::{BTreeMap, BTreeSet};

/// The time after which an unanswered revocation is sent again, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 500;

/// The time after which an upstream is asked again whether the requests on revoked units have
/// ended, in milliseconds.
const RUNNING_POLL_MS: u64 = 50;

/// The move for which the former owner has acknowledged that it runs nothing on the unit any more.
#[derive(Debug)]
struct Acknowledged {
    from: UpstreamName,
    since_epoch: Epoch,
}

/// A reply without running requests that has not been matched with the moves in progress yet.
#[derive(Debug)]
struct CompletedRevocation {
    upstream: UpstreamName,
    epoch: Epoch,
    units: Vec<UnitId>,
}

/// The revocations for the moves in progress.
#[derive(Debug)]
pub(super) struct Revocations {
    acknowledged: BTreeMap<(ServiceName, UnitId), Acknowledged>,
    /// The earliest time of the next revocation to each upstream.
    next_at: Map<UpstreamName, TimeMs>,
    completed: Vec<CompletedRevocation>,
    without: Option<Safeguard>,
}

impl Revocations {
    pub fn new() -> Self {
        Self {
            acknowledged: BTreeMap::new(),
            next_at: new_map(),
            completed: Vec::new(),
            without: None,
        }
    }

    pub const fn without(mut self, safeguard: Safeguard) -> Self {
        self.without = Some(safeguard);
        self
    }

    /// Discards the acknowledgements of moves that have ended.
    pub fn follow(&mut self, state: &ControlState) {
        self.acknowledged.retain(|(service, unit), acknowledgement| {
            matches!(
                state.owner_of(service, *unit),
                Some(UnitOwner::Moving { from, since_epoch, .. })
                    if *from == acknowledgement.from && *since_epoch == acknowledgement.since_epoch
            )
        });
        self.next_at
            .retain(|name, _| state.upstreams.contains_key(name));
    }

    pub fn handle_reply(
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
                self.completed.push(CompletedRevocation {
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

    /// Returns whether the unit's former owner has acknowledged that it runs nothing on the unit
    /// any more.
    pub fn is_acknowledged(&self, service: &ServiceName, unit: UnitId) -> bool {
        self.acknowledged.contains_key(&(service.clone(), unit))
    }

    /// Returns the revocations to send now.
    ///
    /// A revocation is sent only after a majority has adopted the epoch that suspended the unit.
    /// The former owner may restart after its acknowledgement and lose its fence; by then no daemon
    /// can gain a new lease under which it would grant the unit to that upstream again.
    pub fn due(&mut self, context: &PlacerContext<'_>, moving: &[ServiceName]) -> Vec<NodeOutput> {
        self.match_replies(context.state);
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

    /// Matches the replies with the moves in progress.
    ///
    /// A reply to a revocation that is older than the unit's current move does not count for it.
    fn match_replies(&mut self, state: &ControlState) {
        for completed in std::mem::take(&mut self.completed) {
            let Some(upstream) = state.upstreams.get(&completed.upstream) else {
                continue;
            };
            for unit in completed.units {
                let owner = state.owner_of(&upstream.service, unit);
                let Some(UnitOwner::Moving {
                    from, since_epoch, ..
                }) = owner
                else {
                    continue;
                };
                if *from == completed.upstream && *since_epoch <= completed.epoch {
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

/// Returns whether moves away from `upstream` end with its acknowledgement, and not with the expiry
/// of leases.
pub(super) fn is_revocable(upstream: &UpstreamInfo) -> bool {
    upstream.checks_grants && upstream.status != UpstreamStatus::Lost
}

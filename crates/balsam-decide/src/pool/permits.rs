//! Permits that this daemon has asked for or holds, and the keepers that it asks.

use super::{Request, RequestId};
use crate::evacuation::EvacuatedZones;
use crate::room::{
    GroupId, GroupLayout, KeeperList, PermitId, PermitRequest, PermitReturn, PermitScope, RoomLoad,
    RoomMessage,
};
use balsam_types::{Map, ServiceName, Set, TimeMs, UpstreamEntry, ZoneName, new_map, new_set};
use std::net::SocketAddr;
use std::sync::Arc;

/// Time without an answer after which a request for a permit is sent again, in milliseconds.
const ASK_AGAIN_MS: u64 = 40;

/// Interval at which a waiting request asks again, in milliseconds, in case its permit was lost.
const QUEUED_ASK_AGAIN_MS: u64 = 400;

/// Number of refusals because the keeper does not know the group or the owner, after which a daemon
/// decides about the request alone. They follow each other at the interval above: the list of keepers
/// or of upstreams usually reaches both within it.
const NOT_KEPT_MAX: u32 = 3;

/// Number of permits for one request that this daemon's own tables do not allow, after which it
/// decides about the request alone. The keeper and this daemon then know different runs of the owner.
const UNUSABLE_MAX: u32 = 2;

/// Number of unanswered requests after which a keeper counts as silent.
const UNANSWERED_MAX: u32 = 2;

/// How long a silent keeper is not asked, in milliseconds.
const SILENT_MS: u64 = 500;

/// Time after which a return without an acknowledgement is sent again, in milliseconds.
const RETURN_AGAIN_MS: u64 = 250;

/// Number of times that a return is sent. The permit then ends by itself.
const RETURN_SENDS_MAX: u32 = 4;

/// Number of returns in one message.
const RETURNS_PER_MESSAGE: usize = 32;

/// How long the load of a group that an answer has told is believed, in milliseconds.
const LOAD_KEPT_MS: u64 = 500;

/// Wait that a group in another zone must save to be asked first, in milliseconds. A request there
/// takes longer, and bytes between zones are expensive.
const OTHER_ZONE_MS: u64 = 60;

/// Additional wait assumed for a group without a free slot, in milliseconds.
const NO_SLOT_MS: u64 = 20;

/// Number of groups that a request without a key asks, one after the other.
const GROUPS_ASKED_MAX: usize = 2;

/// Interval of the checks while permits are awaited or returns are unacknowledged, in milliseconds.
const CHECK_MS: u64 = 20;

/// A permit that a daemon holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The permit.
    pub id: PermitId,
    /// Where its keeper receives datagrams.
    pub keeper: SocketAddr,
}

/// A request that waits for a permit.
#[derive(Debug)]
pub(super) struct Asking {
    pub(super) request: Request,
    pub(super) service: ServiceName,
    pub(super) keeper: SocketAddr,
    group: GroupId,
    scope: PermitScope,
    objective_at: TimeMs,
    usual_ms: u32,
    sent_at: TimeMs,
    unanswered: u32,
    stage: Stage,
    pub(super) attempts: AskAttempts,
    /// The groups that were asked before, which had no room.
    tried: Vec<GroupId>,
}

/// How far a request for a permit has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The keeper was asked.
    Asked,
    /// The request waits at the keeper.
    Queued,
    /// The keeper did not keep the group. Another one is asked after a moment.
    Held,
}

/// What has come of earlier requests for a permit for the same request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AskAttempts {
    /// Refusals because the keeper does not know the group or the owner.
    not_kept: u32,
    /// Permits that this daemon's own tables did not allow.
    unusable: u32,
}

impl AskAttempts {
    /// Returns whether no further permit should be asked for.
    pub(super) const fn are_over(self) -> bool {
        self.not_kept >= NOT_KEPT_MAX || self.unusable >= UNUSABLE_MAX
    }

    /// Counts a permit that this daemon's own tables did not allow.
    pub(super) const fn with_unusable(self) -> Self {
        Self {
            unusable: self.unusable + 1,
            ..self
        }
    }
}

/// Why a request does not wait for its permit any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AskEnd {
    /// Its time is over.
    GivenUp,
    /// Its keeper does not answer.
    Silent,
    /// Another keeper should be asked. The last one has nothing of the request.
    Moved,
}

/// What a request for a permit says about the request.
#[derive(Debug)]
pub(super) struct AskTerms {
    pub(super) objective_at: TimeMs,
    pub(super) usual_ms: u32,
    pub(super) attempts: AskAttempts,
}

/// Which upstreams may run a request, and the groups that were asked for it before.
#[derive(Debug)]
pub(super) enum AskTarget {
    /// The owner of the key, which belongs to this group.
    Owner(GroupId, balsam_types::UpstreamName),
    /// Any upstream of the service; these groups had no room.
    Any(Vec<GroupId>),
}

#[derive(Debug)]
struct PendingReturn {
    returned: PermitReturn,
    sent_at: TimeMs,
    sends: u32,
}

/// A message to a keeper.
pub(super) type KeeperMessage = (SocketAddr, RoomMessage);

/// A request that does not wait for its permit any longer.
pub(super) type EndedAsk = (PermitId, Asking, AskEnd);

/// The requests for permits of this daemon.
#[derive(Debug)]
pub(super) struct Permits {
    zone: ZoneName,
    last_id: u64,
    keepers: Arc<KeeperList>,
    /// The keeper of each group. At 300 daemons and 3,000 upstreams, a request looks at a hundred
    /// groups, and finding a keeper takes a hash for each of the keepers.
    keeper_addresses: Map<GroupId, SocketAddr>,
    layout: GroupLayout,
    evacuated: Arc<EvacuatedZones>,
    asking: Map<PermitId, Asking>,
    /// Permits under which requests are in flight.
    in_use: Set<PermitId>,
    silent_until: Map<SocketAddr, TimeMs>,
    loads: Map<GroupId, (TimeMs, RoomLoad)>,
    returns: Map<SocketAddr, Vec<PendingReturn>>,
}

impl Permits {
    /// Creates the state of a daemon in `zone`. Its permits are numbered from `first_id`, which
    /// should differ from that of its former lives.
    pub(super) fn new(zone: ZoneName, first_id: u64) -> Self {
        Self {
            zone,
            last_id: first_id,
            keepers: Arc::default(),
            keeper_addresses: new_map(),
            layout: GroupLayout::default(),
            evacuated: Arc::default(),
            asking: new_map(),
            in_use: new_set(),
            silent_until: new_map(),
            loads: new_map(),
            returns: new_map(),
        }
    }

    /// Adopts the keepers, the division of the upstreams into groups, and the zones whose groups are
    /// not asked. Returns the requests whose group has another keeper now.
    pub(super) fn set_keepers(
        &mut self,
        keepers: Arc<KeeperList>,
        layout: GroupLayout,
        evacuated: Arc<EvacuatedZones>,
    ) -> Vec<(PermitId, Asking)> {
        let groups = layout.services().flat_map(|service| layout.groups(service));
        let addresses = groups.filter_map(|group| {
            let address = keepers.keeper_of(&group)?.address;
            Some((group, address))
        });
        self.keeper_addresses = addresses.collect();
        self.keepers = keepers;
        self.layout = layout;
        self.evacuated = evacuated;
        let listed =
            |address: &SocketAddr| self.keepers.keepers.iter().any(|k| k.address == *address);
        self.silent_until.retain(|address, _| listed(address));
        self.loads.clear();
        let keepers = &self.keepers;
        let has_moved = |asking: &Asking| {
            let keeper = keepers.keeper_of(&asking.group);
            keeper.is_none_or(|keeper| keeper.address != asking.keeper)
        };
        let moved = self.asking.extract_if(|_, asking| has_moved(asking));
        moved.collect()
    }

    /// Returns whether a keeper that answers decides about the requests to an upstream.
    pub(super) fn is_kept(&self, now: TimeMs, upstream: &UpstreamEntry) -> bool {
        self.silent_until.is_empty()
            || self
                .responsive_keeper(now, &self.layout.group_of(upstream))
                .is_some()
    }

    /// Removes the request for a permit of a request that is no longer wanted. Returns the permit and
    /// its keeper.
    pub(super) fn cancel(&mut self, request: RequestId) -> Option<(PermitId, SocketAddr)> {
        let found = self.asking.iter();
        let mut found = found.filter(|(_, asking)| asking.request.id == request);
        let (id, keeper) = found.next().map(|(id, asking)| (*id, asking.keeper))?;
        self.asking.remove(&id);
        Some((id, keeper))
    }

    /// Records that a request is sent under a permit.
    pub(super) fn record_used(&mut self, id: PermitId) {
        self.in_use.insert(id);
    }

    /// Returns whether a permit is awaited, used, or being returned.
    pub(super) fn is_known(&self, keeper: SocketAddr, id: PermitId) -> bool {
        let mut returns = self.returns.get(&keeper).into_iter().flatten();
        self.asking.contains_key(&id)
            || self.in_use.contains(&id)
            || returns.any(|pending| pending.returned.id == id)
    }

    /// Keeps a request back whose keeper did not know its group or owner, until the tables of this
    /// daemon or of the keeper are likely to have changed.
    pub(super) fn hold(&mut self, now: TimeMs, id: PermitId, mut asking: Asking) {
        asking.attempts.not_kept += 1;
        asking.stage = Stage::Held;
        asking.sent_at = now;
        self.asking.insert(id, asking);
    }

    /// Returns whether there are keepers to ask.
    pub(super) fn has_keepers(&self) -> bool {
        !self.keepers.keepers.is_empty()
    }

    /// Returns the division of the upstreams into groups.
    pub(super) const fn layout(&self) -> &GroupLayout {
        &self.layout
    }

    /// Returns how many requests wait for a permit.
    pub(super) fn awaited(&self) -> usize {
        self.asking.len()
    }

    /// Asks for a permit. Gives the request back if there is no keeper that would answer.
    pub(super) fn ask(
        &mut self,
        now: TimeMs,
        request: Request,
        service: ServiceName,
        target: AskTarget,
        terms: &AskTerms,
    ) -> Result<KeeperMessage, Box<(Request, ServiceName)>> {
        let (group, scope, tried) = match target {
            AskTarget::Owner(group, owner) => (Some(group), PermitScope::Owner(owner), Vec::new()),
            AskTarget::Any(tried) => {
                let avoid = request.avoid.clone();
                let group = self.cheapest_group(now, &request, &service, &tried);
                (group, PermitScope::Any { avoid }, tried)
            }
        };
        let keeper = group
            .as_ref()
            .and_then(|group| self.responsive_keeper(now, group));
        let (Some(group), Some(keeper)) = (group, keeper) else {
            return Err(Box::new((request, service)));
        };
        self.last_id += 1;
        let id = PermitId(self.last_id);
        let asking = Asking {
            request,
            service,
            keeper,
            group,
            scope,
            objective_at: terms.objective_at,
            usual_ms: terms.usual_ms,
            sent_at: now,
            unanswered: 1,
            stage: Stage::Asked,
            attempts: terms.attempts,
            tried,
        };
        let message = (keeper, RoomMessage::Ask(asking.message(now, id)));
        self.asking.insert(id, asking);
        Ok(message)
    }

    /// Returns the keeper of a group, unless it does not answer at present.
    fn responsive_keeper(&self, now: TimeMs, group: &GroupId) -> Option<SocketAddr> {
        let address = *self.keeper_addresses.get(group)?;
        let silent_until = self.silent_until.get(&address);
        silent_until
            .is_none_or(|until| now >= *until)
            .then_some(address)
    }

    /// Returns the group in which a request without a key probably waits least.
    fn cheapest_group(
        &self,
        now: TimeMs,
        request: &Request,
        service: &ServiceName,
        tried: &[GroupId],
    ) -> Option<GroupId> {
        let groups = self.layout.groups(service).into_iter();
        let candidates = groups.filter(|group| {
            !tried.contains(group)
                && !self.evacuated.contains(&group.zone)
                && self.responsive_keeper(now, group).is_some()
        });
        candidates.min_by_key(|group| {
            let load = self.loads.get(group);
            let load = load.filter(|(at, _)| now.since(*at) < LOAD_KEPT_MS);
            let wait_ms = load.map_or(0, |(_, load)| {
                u64::from(load.wait_ms) + if load.free == 0 { NO_SLOT_MS } else { 0 }
            });
            let zone_ms = if group.zone == self.zone {
                0
            } else {
                OTHER_ZONE_MS
            };
            // The parts of a zone take turns.
            let turn = request.id.0.wrapping_add(u64::from(group.part));
            (
                wait_ms + zone_ms,
                turn.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48,
            )
        })
    }

    /// Records an answer of a keeper. Returns the request that it is about, unless it goes on
    /// waiting or is not known any more.
    pub(super) fn answered(
        &mut self,
        now: TimeMs,
        from: SocketAddr,
        id: PermitId,
        is_queued: bool,
        load: RoomLoad,
    ) -> Option<Asking> {
        self.silent_until.remove(&from);
        let asking = self.asking.get_mut(&id)?;
        self.loads.insert(asking.group.clone(), (now, load));
        if is_queued {
            asking.stage = Stage::Queued;
            asking.unanswered = 0;
            asking.sent_at = now;
            return None;
        }
        self.asking.remove(&id)
    }

    /// Queues the return of a permit, and returns the message for it.
    pub(super) fn give_back(
        &mut self,
        now: TimeMs,
        keeper: SocketAddr,
        returned: PermitReturn,
    ) -> KeeperMessage {
        self.in_use.remove(&returned.id);
        let message = RoomMessage::Return(vec![returned.clone()]);
        self.returns.entry(keeper).or_default().push(PendingReturn {
            returned,
            sent_at: now,
            sends: 1,
        });
        (keeper, message)
    }

    /// Records that a keeper has received returns.
    pub(super) fn acknowledged(&mut self, keeper: SocketAddr, ids: &[PermitId]) {
        if let Some(returns) = self.returns.get_mut(&keeper) {
            returns.retain(|pending| !ids.contains(&pending.returned.id));
            if returns.is_empty() {
                self.returns.remove(&keeper);
            }
        }
    }

    /// Returns when the state must be checked, or `None` if nothing is awaited.
    pub(super) fn next_check(&self, checked_at: TimeMs) -> Option<TimeMs> {
        let is_idle = self.asking.is_empty() && self.returns.is_empty();
        (!is_idle).then(|| checked_at.after(CHECK_MS))
    }

    /// Repeats what was not answered. Returns the messages, and the requests whose keeper does not
    /// answer or that nobody waits for any more.
    pub(super) fn check(&mut self, now: TimeMs) -> (Vec<KeeperMessage>, Vec<EndedAsk>) {
        self.silent_until.retain(|_, until| now < *until);
        let mut messages = Vec::new();
        let mut ended = Vec::new();
        for (id, asking) in &mut self.asking {
            let interval_ms = match asking.stage {
                Stage::Queued if asking.unanswered == 0 => QUEUED_ASK_AGAIN_MS,
                Stage::Asked | Stage::Queued | Stage::Held => ASK_AGAIN_MS,
            };
            if now >= asking.request.give_up_at {
                ended.push((*id, AskEnd::GivenUp));
            } else if now.since(asking.sent_at) >= interval_ms {
                if asking.stage == Stage::Held {
                    ended.push((*id, AskEnd::Moved));
                    continue;
                }
                if asking.unanswered >= UNANSWERED_MAX {
                    self.silent_until
                        .insert(asking.keeper, now.after(SILENT_MS));
                    ended.push((*id, AskEnd::Silent));
                    continue;
                }
                asking.unanswered += 1;
                asking.sent_at = now;
                messages.push((asking.keeper, RoomMessage::Ask(asking.message(now, *id))));
            }
        }
        self.repeat_returns(now, &mut messages);
        let ended = ended.into_iter();
        let ended = ended.filter_map(|(id, end)| Some((id, self.asking.remove(&id)?, end)));
        (messages, ended.collect())
    }

    fn repeat_returns(&mut self, now: TimeMs, messages: &mut Vec<KeeperMessage>) {
        self.returns.retain(|keeper, returns| {
            returns.retain(|pending| {
                let is_due = now.since(pending.sent_at) >= RETURN_AGAIN_MS;
                !is_due || pending.sends < RETURN_SENDS_MAX
            });
            let due = returns
                .iter_mut()
                .filter(|pending| now.since(pending.sent_at) >= RETURN_AGAIN_MS);
            let mut repeated = Vec::new();
            for pending in due.take(RETURNS_PER_MESSAGE) {
                pending.sends += 1;
                pending.sent_at = now;
                repeated.push(pending.returned.clone());
            }
            if !repeated.is_empty() {
                messages.push((*keeper, RoomMessage::Return(repeated)));
            }
            !returns.is_empty()
        });
    }
}

impl Asking {
    /// Returns the groups that have refused the request, the present one included, if another one
    /// may be asked.
    pub(super) fn other_groups(&mut self) -> Option<Vec<GroupId>> {
        self.tried.push(self.group.clone());
        let may_ask =
            matches!(self.scope, PermitScope::Any { .. }) && self.tried.len() < GROUPS_ASKED_MAX;
        may_ask.then(|| std::mem::take(&mut self.tried))
    }

    fn message(&self, now: TimeMs, id: PermitId) -> PermitRequest {
        let left_ms = |at: TimeMs| at.since(now).min(u64::from(u32::MAX)) as u32;
        PermitRequest {
            id,
            group: self.group.clone(),
            scope: self.scope.clone(),
            rank: self.request.route.rank,
            objective_left_ms: left_ms(self.objective_at),
            deadline_left_ms: left_ms(self.request.give_up_at),
            usual_ms: self.usual_ms,
        }
    }
}

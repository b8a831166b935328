//! The state machine of a keeper.

use super::group::{Admission, Grant, Group};
use super::queue::{AskKey, Waiting};
use super::{
    GroupId, GroupLayout, KeeperList, PermitAnswer, PermitId, PermitRefusal, PermitRequest,
    PermitReturn, PermitScope, RoomLoad, RoomMessage,
};
use crate::directory::{DiscoveredUpstream, Upstreams};
use crate::evacuation::ZoneStanding;
use crate::pace::PaceOutcome;
use crate::pool::ClusterState;
use balsam_types::{Map, StartTime, TimeMs, UpstreamName, WarmupTerms, new_map};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

/// Interval of [`KeeperInput::Tick`] while requests wait, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 10;

/// How long acknowledgements wait for an answer that takes them along, in milliseconds. The daemons
/// repeat a return after a longer time.
const ACKNOWLEDGE_MS: u64 = 100;

/// How long a permit that was returned is remembered, in milliseconds, so that a repeated request for
/// it that arrives late is not granted.
const RETURNED_KEPT_MS: u64 = 2_000;

/// How long cold upstreams get nothing after their keeper may have changed, in milliseconds. Their
/// limit is counted over a second.
const COLD_HOLD_MS: u64 = 1_000;

/// Time after which a daemon should retry elsewhere if this daemon is not the keeper, in
/// milliseconds.
const NOT_KEPT_RETRY_MS: u32 = 100;

/// Time after which the callers of requests should return that are refused because the zone is
/// evacuated, in milliseconds. Meanwhile the daemons that asked learn of the evacuation.
const EVACUATED_RETRY_MS: u32 = 1_000;

/// Inputs of the [`Keeper`].
#[derive(Debug)]
pub enum KeeperInput {
    /// The state of the deployment has changed.
    Cluster(ClusterState),
    /// The leader has published a list of keepers.
    Keepers(KeeperList),
    /// A daemon has sent a message.
    Message {
        /// The daemon.
        from: SocketAddr,
        /// The message.
        message: RoomMessage,
    },
    /// Time has passed.
    Tick,
}

/// A message to a daemon.
#[derive(Debug, PartialEq, Eq)]
pub struct KeeperOutput {
    /// The daemon.
    pub to: SocketAddr,
    /// The message.
    pub message: RoomMessage,
}

/// Counts of what a keeper has decided since its start, and what it holds now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeeperCounts {
    /// Permits that were granted.
    pub granted: u64,
    /// Requests that had to wait.
    pub queued: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Permits that ended without being returned.
    pub expired: u64,
    /// Permits out.
    pub permits: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Groups that are kept.
    pub groups: usize,
}

#[derive(Debug)]
enum AskState {
    Waiting(GroupId),
    Granted {
        upstream: Arc<DiscoveredUpstream>,
        expires_at: TimeMs,
    },
    Returned,
}

/// The number of permits out for each run of an upstream.
pub(super) type PermitsOut = Map<(UpstreamName, StartTime), u32>;

/// Keeps the room of groups of upstreams for all daemons.
///
/// It answers the load of many daemons that each send few requests to each of many upstreams: the
/// sum of their own limits would be a multiple of an upstream's slots.
#[derive(Debug)]
pub struct Keeper {
    address: SocketAddr,
    list: KeeperList,
    /// When the list was adopted.
    list_since: TimeMs,
    cluster: Option<ClusterState>,
    layout: GroupLayout,
    /// When the division into groups was last changed, which gives groups other keepers as a list does.
    layout_since: TimeMs,
    members: Map<GroupId, Vec<Arc<DiscoveredUpstream>>>,
    groups: Map<GroupId, Group>,
    asks: Map<AskKey, AskState>,
    /// Permits that were returned, oldest first.
    returned: VecDeque<(TimeMs, AskKey)>,
    acknowledgements: Map<SocketAddr, (TimeMs, Vec<PermitId>)>,
    /// When the last tick was handled. The next one is due a fixed time after it, also while
    /// messages arrive more often.
    ticked_at: TimeMs,
    counts: KeeperCounts,
}

impl Keeper {
    /// Creates the keeper of the daemon that receives datagrams at `address`.
    pub fn new(now: TimeMs, address: SocketAddr) -> Self {
        Self {
            address,
            list: KeeperList::default(),
            list_since: now,
            cluster: None,
            layout: GroupLayout::default(),
            layout_since: now,
            members: new_map(),
            groups: new_map(),
            asks: new_map(),
            returned: VecDeque::new(),
            acknowledgements: new_map(),
            ticked_at: now,
            counts: KeeperCounts::default(),
        }
    }

    /// Processes one input and returns the messages to send.
    pub fn handle(&mut self, now: TimeMs, input: KeeperInput) -> Vec<KeeperOutput> {
        let mut outputs = Vec::new();
        match input {
            KeeperInput::Cluster(cluster) => self.set_cluster(now, cluster, &mut outputs),
            KeeperInput::Keepers(list) => self.set_keepers(now, list, &mut outputs),
            KeeperInput::Message { from, message } => match message {
                RoomMessage::Ask(request) => self.ask(now, from, request, &mut outputs),
                RoomMessage::Return(returns) => {
                    for returned in returns {
                        self.take_back(now, from, &returned, &mut outputs);
                    }
                }
                RoomMessage::Answer { .. } | RoomMessage::Acknowledge(_) => {}
            },
            KeeperInput::Tick => self.tick(now, &mut outputs),
        }
        outputs
    }

    /// Returns when the keeper needs a [`KeeperInput::Tick`], or `None` if it holds nothing.
    pub fn next_wakeup(&self) -> Option<TimeMs> {
        if self.groups.values().any(|group| !group.is_idle()) {
            return Some(self.ticked_at.after(CHECK_INTERVAL_MS));
        }
        let is_idle = self.asks.is_empty() && self.acknowledgements.is_empty();
        (!is_idle).then(|| self.ticked_at.after(ACKNOWLEDGE_MS / 2))
    }

    /// Returns what the keeper has decided and holds.
    pub fn counts(&self) -> KeeperCounts {
        let permits = self.asks.values();
        KeeperCounts {
            permits: permits
                .filter(|state| matches!(state, AskState::Granted { .. }))
                .count(),
            waiting: self.groups.values().map(Group::waiting).sum(),
            groups: self.groups.len(),
            ..self.counts
        }
    }

    fn set_keepers(&mut self, now: TimeMs, list: KeeperList, outputs: &mut Vec<KeeperOutput>) {
        if !list.is_newer_than(&self.list) {
            return;
        }
        self.list = list;
        self.list_since = now;
        let moved: Vec<GroupId> = self
            .groups
            .keys()
            .filter(|group| !self.is_keeper_of(group))
            .cloned()
            .collect();
        for id in moved {
            self.drop_group(&id, outputs);
        }
    }

    fn is_keeper_of(&self, group: &GroupId) -> bool {
        let keeper = self.list.keeper_of(group);
        keeper.is_some_and(|keeper| keeper.address == self.address)
    }

    fn set_cluster(&mut self, now: TimeMs, cluster: ClusterState, outputs: &mut Vec<KeeperOutput>) {
        let known = self.cluster.as_ref();
        let has_changed = known.is_none_or(|known| {
            !Arc::ptr_eq(&known.upstreams, &cluster.upstreams)
                || !Arc::ptr_eq(&known.table, &cluster.table)
                || !Arc::ptr_eq(&known.evacuated, &cluster.evacuated)
        });
        if has_changed {
            let layout = GroupLayout::new(&cluster.upstreams);
            if layout != self.layout {
                // Before its first list, this daemon was in no division as a keeper.
                if known.is_some() {
                    self.layout_since = now;
                }
                self.layout = layout;
            }
            self.members = members(&self.layout, &cluster.upstreams);
        }
        self.cluster = Some(cluster);
        if !has_changed {
            return;
        }
        let groups: Vec<GroupId> = self.groups.keys().cloned().collect();
        for id in groups {
            if self.members.contains_key(&id) {
                self.refresh_group(now, &id, outputs);
                self.serve(now, &id, outputs);
            } else {
                self.drop_group(&id, outputs);
            }
        }
    }

    /// Drops a group that this daemon does not keep or that has no upstreams. Its permits are still
    /// counted if it comes back.
    fn drop_group(&mut self, id: &GroupId, outputs: &mut Vec<KeeperOutput>) {
        let group = self.groups.remove(id);
        for waiting in group.map(|mut group| group.drain()).unwrap_or_default() {
            self.refuse(&waiting, PermitRefusal::NotKept, NOT_KEPT_RETRY_MS, outputs);
        }
    }

    fn permits_out(&self) -> PermitsOut {
        let mut permits = new_map();
        for state in self.asks.values() {
            if let AskState::Granted { upstream, .. } = state {
                let run = (upstream.entry.name.clone(), upstream.entry.born);
                *permits.entry(run).or_default() += 1;
            }
        }
        permits
    }

    /// Adopts the present upstreams of a group, and refuses requests for those that are gone.
    fn refresh_group(&mut self, now: TimeMs, id: &GroupId, outputs: &mut Vec<KeeperOutput>) {
        let warmup = self.warmup(id);
        let cold_from = self.list_since.max(self.layout_since).after(COLD_HOLD_MS);
        let permits = self.permits_out();
        let members = self.members.get(id).map_or(&[][..], Vec::as_slice);
        let group = self.groups.entry(id.clone());
        let group = group.or_insert_with(Group::new);
        let orphaned = group.set_upstreams(now, members, warmup, cold_from, &permits);
        for waiting in orphaned {
            self.refuse(&waiting, PermitRefusal::NotKept, NOT_KEPT_RETRY_MS, outputs);
        }
    }

    fn warmup(&self, group: &GroupId) -> Option<WarmupTerms> {
        let table = &self.cluster.as_ref()?.table;
        table.service(&group.service)?.warmup
    }

    /// Handles a request for a permit, which may be a repeated one.
    fn ask(
        &mut self,
        now: TimeMs,
        from: SocketAddr,
        request: PermitRequest,
        outputs: &mut Vec<KeeperOutput>,
    ) {
        let key = (from, request.id);
        match self.asks.get(&key) {
            Some(AskState::Granted { upstream, .. }) => {
                let answer = granted(upstream);
                let load = self.load(now, &self.layout.group_of(&upstream.entry));
                return self.answer(key, answer, load, outputs);
            }
            Some(AskState::Waiting(group)) => {
                let load = self.load(now, group);
                let wait_ms = load.wait_ms;
                return self.answer(key, PermitAnswer::Queued { wait_ms }, load, outputs);
            }
            Some(AskState::Returned) => return,
            None => {}
        }
        let id = request.group.clone();
        let waiting = Waiting {
            key,
            scope: request.scope,
            rank: request.rank,
            objective_at: now.after(u64::from(request.objective_left_ms)),
            deadline: now.after(u64::from(request.deadline_left_ms)),
            usual_ms: request.usual_ms,
        };
        if !self.is_keeper_of(&id) || !self.members.contains_key(&id) {
            return self.refuse(&waiting, PermitRefusal::NotKept, NOT_KEPT_RETRY_MS, outputs);
        }
        if !self.groups.contains_key(&id) {
            self.refresh_group(now, &id, outputs);
        }
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        if !group.accepts(&waiting) {
            let (refusal, retry_after_ms) = match waiting.scope {
                PermitScope::Owner(_) => (PermitRefusal::NotKept, NOT_KEPT_RETRY_MS),
                // The request was sent to all upstreams of the group before.
                PermitScope::Any { .. } => {
                    (PermitRefusal::Busy, group.retry_after_ms(now, &waiting, 0))
                }
            };
            return self.refuse(&waiting, refusal, retry_after_ms, outputs);
        }
        if !group.push(waiting.clone()) {
            let backlog_ms = u64::from(group.load(now).wait_ms);
            let retry_after_ms = group.retry_after_ms(now, &waiting, backlog_ms);
            return self.refuse(&waiting, PermitRefusal::QueueFull, retry_after_ms, outputs);
        }
        self.asks.insert(key, AskState::Waiting(id.clone()));
        self.serve(now, &id, outputs);
        if !matches!(self.asks.get(&key), Some(AskState::Waiting(_))) {
            return;
        }
        let admission = self.groups.get_mut(&id).map(|group| group.admit(now, &key));
        match admission {
            Some(Admission::Waits(wait_ms)) => {
                self.counts.queued += 1;
                let load = self.load(now, &id);
                self.answer(key, PermitAnswer::Queued { wait_ms }, load, outputs);
            }
            Some(Admission::Refused(refusal, retry_after_ms)) => {
                self.refuse(&waiting, refusal, retry_after_ms, outputs);
            }
            None => {}
        }
    }

    /// Takes back a permit, or removes a request that is no longer wanted.
    fn take_back(
        &mut self,
        now: TimeMs,
        from: SocketAddr,
        returned: &PermitReturn,
        outputs: &mut Vec<KeeperOutput>,
    ) {
        let key = (from, returned.id);
        let (_, ids) = self
            .acknowledgements
            .entry(from)
            .or_insert_with(|| (now, Vec::new()));
        ids.push(returned.id);
        match self.asks.insert(key, AskState::Returned) {
            Some(AskState::Granted { upstream, .. }) => {
                self.returned.push_back((now, key));
                let group = self.layout.group_of(&upstream.entry);
                if let Some(kept) = self.groups.get_mut(&group) {
                    kept.record_return(now, &upstream, returned);
                }
                self.serve(now, &group, outputs);
            }
            Some(AskState::Waiting(group)) => {
                self.returned.push_back((now, key));
                if let Some(kept) = self.groups.get_mut(&group) {
                    kept.remove(&key);
                }
            }
            Some(AskState::Returned) => {}
            // The request for this permit may be on its way still.
            None => self.returned.push_back((now, key)),
        }
    }

    fn tick(&mut self, now: TimeMs, outputs: &mut Vec<KeeperOutput>) {
        self.ticked_at = now;
        self.forget_returned(now);
        self.expire_permits(now);
        let busy = self.groups.iter().filter(|(_, group)| !group.is_idle());
        let busy: Vec<GroupId> = busy.map(|(id, _)| id.clone()).collect();
        for id in busy {
            self.serve(now, &id, outputs);
        }
        self.acknowledge(now, outputs);
    }

    fn forget_returned(&mut self, now: TimeMs) {
        while let Some((at, key)) = self.returned.front().copied() {
            if now.since(at) < RETURNED_KEPT_MS {
                return;
            }
            self.returned.pop_front();
            self.asks.remove(&key);
        }
    }

    /// Ends permits whose requests must have ended, because their returns were lost.
    fn expire_permits(&mut self, now: TimeMs) {
        let expired = self.asks.iter().filter_map(|(key, state)| match state {
            AskState::Granted { expires_at, .. } if *expires_at <= now => Some(*key),
            _ => None,
        });
        let expired: Vec<AskKey> = expired.collect();
        for key in expired {
            let Some(AskState::Granted { upstream, .. }) = self.asks.remove(&key) else {
                continue;
            };
            self.counts.expired += 1;
            let returned = PermitReturn {
                id: key.1,
                outcome: PaceOutcome::Unused,
                pause_ms: None,
                load: None,
            };
            let group = self.layout.group_of(&upstream.entry);
            if let Some(kept) = self.groups.get_mut(&group) {
                kept.record_return(now, &upstream, &returned);
            }
        }
    }

    fn acknowledge(&mut self, now: TimeMs, outputs: &mut Vec<KeeperOutput>) {
        self.acknowledgements.retain(|to, (since, ids)| {
            let is_due = now.since(*since) >= ACKNOWLEDGE_MS;
            if is_due {
                outputs.push(KeeperOutput {
                    to: *to,
                    message: RoomMessage::Acknowledge(std::mem::take(ids)),
                });
            }
            !is_due
        });
    }

    /// Refuses the waiting requests of a group that may not run there because its zone is evacuated.
    fn refuse_evacuated(&mut self, now: TimeMs, id: &GroupId, outputs: &mut Vec<KeeperOutput>) {
        let cluster = self.cluster.as_ref();
        let standing = cluster.map(|cluster| cluster.evacuated.standing(now, &id.zone));
        let group = self.groups.get_mut(id);
        let refused = match (standing, group) {
            (Some(ZoneStanding::OwnersOnly), Some(group)) => group.drain_unnamed(),
            (Some(ZoneStanding::Closed), Some(group)) => group.drain(),
            (Some(ZoneStanding::Open) | None, _) | (_, None) => return,
        };
        for waiting in refused {
            self.refuse(&waiting, PermitRefusal::Paused, EVACUATED_RETRY_MS, outputs);
        }
    }

    /// Refuses waiting requests of a group whose time is over, and grants others as far as there is
    /// room.
    fn serve(&mut self, now: TimeMs, id: &GroupId, outputs: &mut Vec<KeeperOutput>) {
        self.refuse_evacuated(now, id, outputs);
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let expired = group.expire(now);
        let grants = group.serve(now);
        for (waiting, retry_after_ms) in expired {
            self.refuse(&waiting, PermitRefusal::Busy, retry_after_ms, outputs);
        }
        for Grant { waiting, upstream } in grants {
            self.counts.granted += 1;
            let answer = granted(&upstream);
            let state = AskState::Granted {
                upstream,
                expires_at: waiting.deadline,
            };
            self.asks.insert(waiting.key, state);
            let load = self.load(now, id);
            self.answer(waiting.key, answer, load, outputs);
        }
    }

    fn load(&self, now: TimeMs, id: &GroupId) -> RoomLoad {
        let group = self.groups.get(id);
        group.map_or_else(RoomLoad::default, |group| group.load(now))
    }

    fn refuse(
        &mut self,
        waiting: &Waiting,
        refusal: PermitRefusal,
        retry_after_ms: u32,
        outputs: &mut Vec<KeeperOutput>,
    ) {
        self.counts.refused += 1;
        self.asks.remove(&waiting.key);
        let answer = PermitAnswer::Refused {
            refusal,
            retry_after_ms,
        };
        let load = RoomLoad {
            free: 0,
            wait_ms: retry_after_ms,
        };
        self.answer(waiting.key, answer, load, outputs);
    }

    fn answer(
        &mut self,
        (to, id): AskKey,
        answer: PermitAnswer,
        load: RoomLoad,
        outputs: &mut Vec<KeeperOutput>,
    ) {
        let acknowledged = self.acknowledgements.remove(&to);
        let message = RoomMessage::Answer {
            id,
            answer,
            load,
            acknowledged: acknowledged.map(|(_, ids)| ids).unwrap_or_default(),
        };
        outputs.push(KeeperOutput { to, message });
    }
}

fn granted(upstream: &DiscoveredUpstream) -> PermitAnswer {
    PermitAnswer::Granted {
        upstream: upstream.entry.name.clone(),
        born: upstream.entry.born,
    }
}

/// Returns the upstreams that take requests, by group.
fn members(
    layout: &GroupLayout,
    upstreams: &Upstreams,
) -> Map<GroupId, Vec<Arc<DiscoveredUpstream>>> {
    let mut members: Map<GroupId, Vec<Arc<DiscoveredUpstream>>> = new_map();
    for upstream in upstreams.iter().filter(|found| found.entry.is_ready()) {
        let group = members.entry(layout.group_of(&upstream.entry));
        group.or_default().push(Arc::clone(upstream));
    }
    members
}

//! The bounded queue of one rank, shared fairly between members.

use super::service_time::ServiceTime;
use super::{QueuedRequest, Ticket};
use crate::settings::RankPolicy;
use balsam_types::{Map, MemberName, RankName, TimeMs, new_map};
use std::collections::{BTreeSet, VecDeque};

/// The most that a member can owe or be owed, in mean service times for each unit of weight.
const DEFICIT_MAX: f64 = 8.0;

#[derive(Debug, Default)]
struct MemberQueue {
    waiting: VecDeque<QueuedRequest>,
    running: u32,
    weight: f64,
    /// Slot time in milliseconds that the member may use before the others' turn.
    deficit_ms: f64,
}

/// The requests of one rank at one upstream.
#[derive(Debug)]
pub(super) struct RankQueue {
    /// The rank.
    pub name: RankName,
    /// Its policy.
    pub policy: RankPolicy,
    /// Its requests that hold a slot.
    pub running: u32,
    /// How long its requests hold a slot.
    pub service_time: ServiceTime,
    members: Map<MemberName, MemberQueue>,
    /// Members with waiting requests, in the order of their turns.
    turns: VecDeque<MemberName>,
    /// Waiting requests by deadline.
    deadlines: BTreeSet<(TimeMs, Ticket)>,
    waiting: Map<Ticket, MemberName>,
}

impl RankQueue {
    /// Makes an empty queue.
    pub fn new(name: RankName, policy: RankPolicy) -> Self {
        Self {
            name,
            policy,
            running: 0,
            service_time: ServiceTime::default(),
            members: new_map(),
            turns: VecDeque::new(),
            deadlines: BTreeSet::new(),
            waiting: new_map(),
        }
    }

    /// Returns whether a request waits and may start as far as the rank's own limit goes.
    pub fn is_ready(&self) -> bool {
        !self.waiting.is_empty() && self.running < self.policy.max_slots
    }

    /// Returns whether the rank has fewer slots than it is guaranteed.
    pub const fn is_below_minimum(&self) -> bool {
        self.running < self.policy.min_slots
    }

    /// Returns the members that wait or run.
    pub fn member_names(&self) -> Vec<MemberName> {
        self.members.keys().cloned().collect()
    }

    /// Changes the weight of a member that waits or runs.
    pub fn set_weight(&mut self, member: &MemberName, weight: f64) {
        if let Some(member) = self.members.get_mut(member) {
            member.weight = weight;
        }
    }

    /// Queues a request of a member with this weight.
    pub fn push(&mut self, request: QueuedRequest, weight: f64) {
        let name = request.member.clone();
        self.deadlines.insert((request.deadline, request.ticket));
        self.waiting.insert(request.ticket, name.clone());
        let member = self.members.entry(name.clone()).or_default();
        member.weight = weight;
        if member.waiting.is_empty() {
            self.turns.push_back(name);
        }
        member.waiting.push_back(request);
    }

    /// Takes the next request by deficit round robin, with the slot time charged for it.
    pub fn start_next(&mut self) -> Option<(QueuedRequest, f64)> {
        let cost_ms = self.service_time.mean_ms();
        loop {
            let name = self.turns.front()?;
            let Some(member) = self.members.get_mut(name) else {
                self.turns.pop_front();
                continue;
            };
            if member.deficit_ms < cost_ms {
                member.deficit_ms += cost_ms * member.weight;
                self.turns.rotate_left(1);
                continue;
            }
            let Some(request) = member.waiting.pop_front() else {
                self.turns.pop_front();
                continue;
            };
            member.deficit_ms -= cost_ms;
            member.running += 1;
            if member.waiting.is_empty() {
                // A member without waiting requests saves no turns for later.
                member.deficit_ms = member.deficit_ms.min(0.0);
                self.turns.pop_front();
            }
            self.running += 1;
            self.forget(&request);
            return Some((request, cost_ms));
        }
    }

    /// Gives a slot back and settles the member's charge with the slot time that it used.
    pub fn finish(&mut self, name: &MemberName, charged_ms: f64, used_ms: f64) {
        self.running = self.running.saturating_sub(1);
        let most_ms = DEFICIT_MAX * self.service_time.mean_ms();
        if let Some(member) = self.members.get_mut(name) {
            member.running = member.running.saturating_sub(1);
            let settled_ms = member.deficit_ms + charged_ms - used_ms;
            let bound_ms = most_ms * member.weight;
            member.deficit_ms = settled_ms.clamp(-bound_ms, bound_ms);
        }
        self.drop_idle(name);
    }

    /// Removes a waiting request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let name = self.waiting.get(&ticket)?.clone();
        let member = self.members.get_mut(&name)?;
        let at = member
            .waiting
            .iter()
            .position(|request| request.ticket == ticket)?;
        let request = member.waiting.remove(at)?;
        self.after_removal(&request);
        Some(request)
    }

    /// Returns whether an arriving request cannot be served by `deadline` even without waiting.
    pub fn is_too_late(&self, now: TimeMs, deadline: TimeMs) -> bool {
        let least_ms = self.service_time.least_ms(now, self.running);
        deadline <= now || now.after(least_ms) > deadline
    }

    /// Removes and returns a waiting request that would probably miss its deadline.
    pub fn pop_hopeless(&mut self, now: TimeMs) -> Option<QueuedRequest> {
        let (deadline, ticket) = *self.deadlines.first()?;
        if deadline > now && now.after(self.likely_ms(now)) <= deadline {
            return None;
        }
        self.remove(ticket)
    }

    /// Returns when the next waiting request becomes hopeless.
    pub fn next_hopeless(&self, now: TimeMs) -> Option<TimeMs> {
        let (deadline, _) = self.deadlines.first()?;
        let needed_ms = self.likely_ms(now);
        // A request that needs exactly the remaining time can still start.
        Some(TimeMs(deadline.0.saturating_sub(needed_ms.max(1) - 1)))
    }

    /// Removes the newest request of the member that is furthest over its share of a full queue.
    ///
    /// On a tie the arriving member loses, so that no one is displaced by an equal.
    pub fn pop_excess(&mut self, arriving: Option<&MemberName>) -> Option<QueuedRequest> {
        if self.waiting.len() as u64 <= self.policy.queue_max {
            return None;
        }
        let share = |name: &MemberName| {
            let member = self.members.get(name);
            let share = member.map_or(0.0, |m| m.waiting.len() as f64 / m.weight);
            (share, Some(name) == arriving)
        };
        let shares = self.turns.iter().map(|name| (name, share(name)));
        let furthest = shares.max_by(|(_, a), (_, b)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let name = furthest?.0.clone();
        let request = self.members.get_mut(&name)?.waiting.pop_back()?;
        self.after_removal(&request);
        Some(request)
    }

    /// Removes and returns all waiting requests.
    pub fn drain(&mut self) -> Vec<QueuedRequest> {
        let drained = self.turns.drain(..);
        let queues = drained.filter_map(|name| self.members.remove(&name));
        let requests = queues.flat_map(|member| member.waiting).collect();
        self.deadlines.clear();
        self.waiting.clear();
        requests
    }

    fn likely_ms(&self, now: TimeMs) -> u64 {
        let deadline_ms = self.policy.deadline_ms;
        self.service_time.likely_ms(now, self.running, deadline_ms)
    }

    fn forget(&mut self, request: &QueuedRequest) {
        self.deadlines.remove(&(request.deadline, request.ticket));
        self.waiting.remove(&request.ticket);
    }

    fn after_removal(&mut self, request: &QueuedRequest) {
        self.forget(request);
        let name = &request.member;
        if self
            .members
            .get(name)
            .is_some_and(|member| member.waiting.is_empty())
        {
            self.turns.retain(|other| other != name);
        }
        self.drop_idle(name);
    }

    fn drop_idle(&mut self, name: &MemberName) {
        let idle = |member: &MemberQueue| member.waiting.is_empty() && member.running == 0;
        if self.members.get(name).is_some_and(idle) {
            self.members.remove(name);
        }
    }
}

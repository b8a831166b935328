//! The bounded queue of one rank, shared fairly between members (workspaces).

use super::service_time::ServiceTime;
use super::{QueuedRequest, Ticket};
use crate::settings::RankPolicy;
use balsam_types::{Map, MemberName, RankName, TimeMs, new_map};
use std::collections::{BTreeSet, VecDeque};

/// The maximum debt or credit of a member, in mean service times per unit of weight.
const DEFICIT_MAX: f64 = 8.0;

/// The requests of one member within the rank.
#[derive(Debug, Default)]
struct MemberQueue {
    waiting: VecDeque<QueuedRequest>,
    running: u32,
    weight: f64,
    /// The slot time that the member may use before it is the next member's turn, in milliseconds.
    deficit_ms: f64,
}

/// The requests of one rank at one upstream.
#[derive(Debug)]
pub(super) struct RankQueue {
    /// The rank.
    pub name: RankName,
    /// Its policy.
    pub policy: RankPolicy,
    /// The number of its requests that hold a slot.
    pub running: u32,
    /// The estimate of how long its requests hold a slot.
    pub service_time: ServiceTime,
    members: Map<MemberName, MemberQueue>,
    /// The members with waiting requests, in round-robin order.
    active_members: VecDeque<MemberName>,
    /// Waiting requests by deadline.
    deadlines: BTreeSet<(TimeMs, Ticket)>,
    /// The member of each waiting request.
    waiting: Map<Ticket, MemberName>,
}

impl RankQueue {
    /// Creates an empty queue.
    pub fn new(name: RankName, policy: RankPolicy) -> Self {
        Self {
            name,
            policy,
            running: 0,
            service_time: ServiceTime::default(),
            members: new_map(),
            active_members: VecDeque::new(),
            deadlines: BTreeSet::new(),
            waiting: new_map(),
        }
    }

    /// Returns whether a request waits and the rank's own limit lets it start.
    pub fn is_ready(&self) -> bool {
        !self.waiting.is_empty() && self.running < self.policy.max_slots
    }

    /// Returns whether the rank holds fewer slots than it is guaranteed.
    pub const fn is_below_minimum(&self) -> bool {
        self.running < self.policy.min_slots
    }

    /// Returns the members with waiting or running requests.
    pub fn member_names(&self) -> Vec<MemberName> {
        self.members.keys().cloned().collect()
    }

    /// Changes the weight of a member with waiting or running requests.
    pub fn set_weight(&mut self, member: &MemberName, weight: f64) {
        if let Some(member) = self.members.get_mut(member) {
            member.weight = weight;
        }
    }

    /// Queues a request of a member that has this weight.
    pub fn push(&mut self, request: QueuedRequest, weight: f64) {
        let name = request.member.clone();
        self.deadlines.insert((request.deadline, request.ticket));
        self.waiting.insert(request.ticket, name.clone());
        let member = self.members.entry(name.clone()).or_default();
        member.weight = weight;
        if member.waiting.is_empty() {
            self.active_members.push_back(name);
        }
        member.waiting.push_back(request);
    }

    /// Takes the next request by deficit round robin; returns it with the slot time charged for it.
    pub fn start_next(&mut self) -> Option<(QueuedRequest, f64)> {
        let cost_ms = self.service_time.mean_ms();
        loop {
            let name = self.active_members.front()?;
            let Some(member) = self.members.get_mut(name) else {
                self.active_members.pop_front();
                continue;
            };
            if member.deficit_ms < cost_ms {
                member.deficit_ms += cost_ms * member.weight;
                self.active_members.rotate_left(1);
                continue;
            }
            let Some(request) = member.waiting.pop_front() else {
                self.active_members.pop_front();
                continue;
            };
            member.deficit_ms -= cost_ms;
            member.running += 1;
            if member.waiting.is_empty() {
                // A member without waiting requests does not accumulate credit for later.
                member.deficit_ms = member.deficit_ms.min(0.0);
                self.active_members.pop_front();
            }
            self.running += 1;
            self.untrack(&request);
            return Some((request, cost_ms));
        }
    }

    /// Releases a slot and corrects the member's charge to the slot time that the request used.
    pub fn finish(&mut self, name: &MemberName, charged_ms: f64, used_ms: f64) {
        self.running = self.running.saturating_sub(1);
        let max_ms = DEFICIT_MAX * self.service_time.mean_ms();
        if let Some(member) = self.members.get_mut(name) {
            member.running = member.running.saturating_sub(1);
            let corrected_ms = member.deficit_ms + charged_ms - used_ms;
            let bound_ms = max_ms * member.weight;
            member.deficit_ms = corrected_ms.clamp(-bound_ms, bound_ms);
        }
        self.remove_idle(name);
    }

    /// Removes a waiting request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let name = self.waiting.get(&ticket)?.clone();
        let member = self.members.get_mut(&name)?;
        let index = member
            .waiting
            .iter()
            .position(|request| request.ticket == ticket)?;
        let request = member.waiting.remove(index)?;
        self.clean_up_after(&request);
        Some(request)
    }

    /// Returns whether an arriving request would miss `deadline` even if it started at once.
    pub fn misses_deadline(&self, now: TimeMs, deadline: TimeMs) -> bool {
        let lower_estimate_ms = self.service_time.lower_estimate_ms(now, self.running);
        deadline <= now || now.after(lower_estimate_ms) > deadline
    }

    /// Removes and returns a waiting request that would probably miss its deadline even if it
    /// started now.
    pub fn pop_infeasible(&mut self, now: TimeMs) -> Option<QueuedRequest> {
        let (deadline, ticket) = *self.deadlines.first()?;
        if deadline > now && now.after(self.upper_estimate_ms(now)) <= deadline {
            return None;
        }
        self.remove(ticket)
    }

    /// Returns when the next waiting request will probably be too late to meet its deadline.
    pub fn next_infeasible_at(&self, now: TimeMs) -> Option<TimeMs> {
        let (deadline, _) = self.deadlines.first()?;
        let needed_ms = self.upper_estimate_ms(now);
        // A request that needs exactly the remaining time may still start.
        Some(TimeMs(deadline.0.saturating_sub(needed_ms.max(1) - 1)))
    }

    /// Removes the newest request of the member that most exceeds its share of an overfull queue.
    ///
    /// On a tie this is the member of the arriving request, so that a request never displaces
    /// one of a member with an equal share.
    pub fn pop_excess(&mut self, arriving: Option<&MemberName>) -> Option<QueuedRequest> {
        if self.waiting.len() as u64 <= self.policy.queue_max {
            return None;
        }
        let share = |name: &MemberName| {
            let member = self.members.get(name);
            let share = member.map_or(0.0, |m| m.waiting.len() as f64 / m.weight);
            (share, Some(name) == arriving)
        };
        let shares = self.active_members.iter().map(|name| (name, share(name)));
        let largest = shares.max_by(|(_, a), (_, b)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let name = largest?.0.clone();
        let request = self.members.get_mut(&name)?.waiting.pop_back()?;
        self.clean_up_after(&request);
        Some(request)
    }

    /// Removes and returns all waiting requests.
    pub fn drain(&mut self) -> Vec<QueuedRequest> {
        let drained = self.active_members.drain(..);
        let queues = drained.filter_map(|name| self.members.remove(&name));
        let requests = queues.flat_map(|member| member.waiting).collect();
        self.deadlines.clear();
        self.waiting.clear();
        requests
    }

    fn upper_estimate_ms(&self, now: TimeMs) -> u64 {
        let deadline_ms = self.policy.deadline_ms;
        self.service_time
            .upper_estimate_ms(now, self.running, deadline_ms)
    }

    fn untrack(&mut self, request: &QueuedRequest) {
        self.deadlines.remove(&(request.deadline, request.ticket));
        self.waiting.remove(&request.ticket);
    }

    fn clean_up_after(&mut self, request: &QueuedRequest) {
        self.untrack(request);
        let name = &request.member;
        if self
            .members
            .get(name)
            .is_some_and(|member| member.waiting.is_empty())
        {
            self.active_members.retain(|other| other != name);
        }
        self.remove_idle(name);
    }

    fn remove_idle(&mut self, name: &MemberName) {
        let idle = |member: &MemberQueue| member.waiting.is_empty() && member.running == 0;
        if self.members.get(name).is_some_and(idle) {
            self.members.remove(name);
        }
    }
}

//! The dispatch state machine.

use super::limit::AdaptiveLimit;
use super::load::LoadMeter;
use super::rank::RankQueue;
use super::{
    DispatchInput, DispatchOutput, DispatchPolicy, LoadSample, QueuedRequest, SlotResult, Ticket,
};
use balsam_types::{KeyHash, Map, MemberName, NotRunReason, RankName, TimeMs, UnitId, new_map};
use std::sync::Arc;

/// A request that holds a slot.
#[derive(Debug)]
struct Running {
    rank: RankName,
    member: MemberName,
    unit: UnitId,
    key: KeyHash,
    started: TimeMs,
    /// The time up to which the load meter has counted the request.
    counted_to: TimeMs,
    /// The slot time that the member was charged at the start.
    charged_ms: f64,
}

/// Decides which request gets the next slot of one upstream.
#[derive(Debug)]
pub struct Dispatch {
    policy: Arc<DispatchPolicy>,
    /// The ranks in order of priority.
    ranks: Vec<RankQueue>,
    running: Map<Ticket, Running>,
    waiting: Map<Ticket, RankName>,
    limit: AdaptiveLimit,
    load: LoadMeter,
}

impl Dispatch {
    /// Creates a dispatcher without requests.
    pub fn new(policy: Arc<DispatchPolicy>) -> Self {
        let mut dispatch = Self {
            limit: AdaptiveLimit::new(policy.slots),
            policy: Arc::default(),
            ranks: Vec::new(),
            running: new_map(),
            waiting: new_map(),
            load: LoadMeter::new(),
        };
        dispatch.set_policy(policy);
        dispatch
    }

    /// Handles one input and returns the resulting outputs.
    pub fn handle(&mut self, now: TimeMs, input: DispatchInput) -> Vec<DispatchOutput> {
        let mut outputs = Vec::new();
        let mut arriving = None;
        match input {
            DispatchInput::Enqueue(request) => {
                arriving = Some(request.member.clone());
                outputs.extend(self.enqueue(now, request));
                // Starting before the refusals below lets a request that need not wait run even if
                // little time is left.
                self.start_ready(now, &mut outputs);
            }
            DispatchInput::Finished { ticket, result } => self.finish(now, ticket, result),
            DispatchInput::Cancel { ticket } => self.cancel(ticket),
            DispatchInput::Policy(policy) => outputs.extend(self.set_policy(policy)),
            DispatchInput::Tick => {}
        }
        self.refuse_infeasible(now, &mut outputs);
        self.start_ready(now, &mut outputs);
        self.refuse_excess(arriving.as_ref(), &mut outputs);
        outputs
    }

    /// Returns when the next `Tick` is due, unless another input arrives before.
    pub fn next_wake(&self, now: TimeMs) -> Option<TimeMs> {
        let due = self
            .ranks
            .iter()
            .filter_map(|rank| rank.next_infeasible_at(now));
        due.min().map(|at| at.max(now.after(1)))
    }

    /// Returns the recent load, including that of running requests.
    pub fn take_sample(&mut self, now: TimeMs) -> LoadSample {
        for running in self.running.values_mut() {
            let slot_ms = now.since(running.counted_to);
            self.load.add(now, running.unit, running.key, slot_ms);
            running.counted_to = now;
        }
        self.load.sample(now)
    }

    /// Returns the number of requests that hold a slot.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests that may currently run at once.
    pub const fn limit(&self) -> u32 {
        self.limit.get()
    }

    fn enqueue(&mut self, now: TimeMs, request: QueuedRequest) -> Option<DispatchOutput> {
        let ticket = request.ticket;
        if self.running.contains_key(&ticket) || self.waiting.contains_key(&ticket) {
            return None;
        }
        let weight = self.policy.weight(&request.rank, &request.member);
        let Some(rank) = find_rank(&mut self.ranks, &request.rank) else {
            let reason = NotRunReason::UnknownRank;
            return Some(DispatchOutput::Refuse { ticket, reason });
        };
        if rank.misses_deadline(now, request.deadline) {
            let reason = NotRunReason::Deadline;
            return Some(DispatchOutput::Refuse { ticket, reason });
        }
        self.waiting.insert(ticket, request.rank.clone());
        rank.push(request, weight);
        None
    }

    fn finish(&mut self, now: TimeMs, ticket: Ticket, result: SlotResult) {
        let Some(running) = self.running.remove(&ticket) else {
            return;
        };
        self.limit.record(now, running.started, result);
        let slot_ms = now.since(running.counted_to);
        self.load.add(now, running.unit, running.key, slot_ms);
        let Some(rank) = find_rank(&mut self.ranks, &running.rank) else {
            return;
        };
        let used_ms = now.since(running.started) as f64;
        if result == SlotResult::Served {
            rank.service_time.record(now, used_ms);
        }
        rank.finish(&running.member, running.charged_ms, used_ms);
    }

    fn cancel(&mut self, ticket: Ticket) {
        let Some(name) = self.waiting.remove(&ticket) else {
            return;
        };
        if let Some(rank) = find_rank(&mut self.ranks, &name) {
            rank.remove(ticket);
        }
    }

    /// Replaces the limits and refuses the waiting requests of ranks that no longer exist.
    fn set_policy(&mut self, policy: Arc<DispatchPolicy>) -> Vec<DispatchOutput> {
        let mut previous = std::mem::take(&mut self.ranks);
        for (name, rank_policy) in &policy.ranks {
            let known = previous.iter().position(|rank| rank.name == *name);
            let mut rank = match known {
                Some(at) => previous.swap_remove(at),
                None => RankQueue::new(name.clone(), rank_policy.clone()),
            };
            rank.policy = rank_policy.clone();
            rank.running = self.count_running(name);
            for member in rank.member_names() {
                rank.set_weight(&member, policy.weight(name, &member));
            }
            self.ranks.push(rank);
        }
        self.ranks
            .sort_by(|a, b| (a.policy.priority, &a.name).cmp(&(b.policy.priority, &b.name)));
        self.limit.set_slots(policy.slots);
        self.policy = policy;
        let removed = previous.iter_mut().flat_map(RankQueue::drain);
        let refuse = |request: QueuedRequest| {
            self.waiting.remove(&request.ticket);
            DispatchOutput::Refuse {
                ticket: request.ticket,
                reason: NotRunReason::UnknownRank,
            }
        };
        removed.map(refuse).collect()
    }

    fn count_running(&self, rank: &RankName) -> u32 {
        let of_rank = self
            .running
            .values()
            .filter(|running| running.rank == *rank);
        of_rank.count() as u32
    }

    fn refuse_infeasible(&mut self, now: TimeMs, outputs: &mut Vec<DispatchOutput>) {
        for rank in &mut self.ranks {
            while let Some(request) = rank.pop_infeasible(now) {
                self.waiting.remove(&request.ticket);
                outputs.push(DispatchOutput::Refuse {
                    ticket: request.ticket,
                    reason: NotRunReason::Deadline,
                });
            }
        }
    }

    fn refuse_excess(&mut self, arriving: Option<&MemberName>, outputs: &mut Vec<DispatchOutput>) {
        for rank in &mut self.ranks {
            while let Some(request) = rank.pop_excess(arriving) {
                self.waiting.remove(&request.ticket);
                outputs.push(DispatchOutput::Refuse {
                    ticket: request.ticket,
                    reason: NotRunReason::QueueFull,
                });
            }
        }
    }

    fn start_ready(&mut self, now: TimeMs, outputs: &mut Vec<DispatchOutput>) {
        while self.running.len() < self.limit.get() as usize {
            let Some(at) = self.next_rank() else {
                return;
            };
            let Some((request, charged_ms)) = self.ranks[at].start_next() else {
                return;
            };
            let ticket = request.ticket;
            self.waiting.remove(&ticket);
            let running = Running {
                rank: request.rank,
                member: request.member,
                unit: request.unit,
                key: request.key,
                started: now,
                counted_to: now,
                charged_ms,
            };
            self.running.insert(ticket, running);
            outputs.push(DispatchOutput::Start { ticket });
        }
    }

    /// Returns the index of the rank that gets the next slot: a rank below its minimum, otherwise
    /// the most urgent one.
    ///
    /// Of ranks of equal priority, the one that holds fewer slots is next.
    fn next_rank(&self) -> Option<usize> {
        let ready = || (0..self.ranks.len()).filter(|at| self.ranks[*at].is_ready());
        let urgency = |at: &usize| {
            let rank = &self.ranks[*at];
            (rank.policy.priority, rank.running)
        };
        let below_minimum = ready().filter(|at| self.ranks[*at].is_below_minimum());
        below_minimum
            .min_by_key(urgency)
            .or_else(|| ready().min_by_key(urgency))
    }
}

fn find_rank<'a>(ranks: &'a mut [RankQueue], name: &RankName) -> Option<&'a mut RankQueue> {
    ranks.iter_mut().find(|rank| rank.name == *name)
}

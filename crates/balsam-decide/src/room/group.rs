//! One group of upstreams at its keeper: who may send now, who waits, and who is refused.

use super::keeper::PermitsOut;
use super::queue::{AskKey, Queue, Waiting};
use super::target::Target;
use super::{PermitRefusal, PermitReturn, PermitScope, RoomLoad};
use crate::directory::DiscoveredUpstream;
use crate::pace::PaceVerdict;
use balsam_types::{Map, Set, TimeMs, UpstreamName, WarmupTerms, new_map, new_set};
use std::sync::Arc;

/// Weight of the newest request in the mean response time of a group.
const EWMA_WEIGHT: f64 = 0.05;

/// Weight of the newest request in the share of requests that are refused.
const REFUSED_WEIGHT: f64 = 0.05;

/// Part of the caller's time after which it should return at the latest, in percent. Callers do not
/// wait longer than a third of their time before they return.
const RETRY_LATEST_PERCENT: u64 = 30;

/// Minimum of the time after which a refused caller should return, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 100;

/// Time over which refused callers return, in percent of their mean delay.
const RETRY_SPREAD_PERCENT: u64 = 25;

/// A request that may be sent now.
#[derive(Debug)]
pub(super) struct Grant {
    pub(super) waiting: Waiting,
    pub(super) upstream: Arc<DiscoveredUpstream>,
}

/// What becomes of a request that has just arrived and was not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// It waits, for about this time in milliseconds.
    Waits(u32),
    /// It is refused.
    Refused(PermitRefusal, u32),
}

/// The upstreams of a group, and the requests that wait for them.
#[derive(Debug)]
pub(super) struct Group {
    targets: Map<UpstreamName, Target>,
    queue: Queue,
    /// Mean usual response time of the requests that were granted, in milliseconds.
    mean_ms: f64,
    /// Moving average of the share of requests that are refused.
    refused_share: f64,
}

impl Group {
    /// Creates a group without upstreams.
    pub(super) fn new() -> Self {
        Self {
            targets: new_map(),
            queue: Queue::default(),
            mean_ms: 0.0,
            refused_share: 0.0,
        }
    }

    /// Adopts the upstreams of the group. Returns the waiting requests that none of them may run.
    ///
    /// Permits that are out for an upstream that is new to the group take its slots: it may have been
    /// in another group, not ready, or at another keeper in the meantime.
    ///
    /// Cold upstreams that are new to the group get nothing before `cold_from`, because another
    /// keeper may just have sent them requests. Upstreams that join a group that was known before
    /// have probably just started.
    pub(super) fn set_upstreams(
        &mut self,
        now: TimeMs,
        upstreams: &[Arc<DiscoveredUpstream>],
        warmup: Option<WarmupTerms>,
        cold_from: TimeMs,
        permits: &PermitsOut,
    ) -> Vec<Waiting> {
        let mut former = std::mem::take(&mut self.targets);
        let was_known = !former.is_empty();
        for upstream in upstreams {
            let name = upstream.entry.name.clone();
            let known = former.remove(&name);
            let mut target = known
                .filter(|known| known.born() == upstream.entry.born)
                .unwrap_or_else(|| {
                    let mut target = Target::new(Arc::clone(upstream), warmup);
                    if warmup.is_some() && upstream.warmup_ends_at > now {
                        target.pause(cold_from);
                    }
                    let run = (name.clone(), upstream.entry.born);
                    let permits_out = permits.get(&run).copied().unwrap_or_default();
                    for _ in 0..permits_out {
                        target.record_sent(now);
                    }
                    // One that runs requests already was listed before.
                    if was_known && permits_out == 0 {
                        target.record_start(now);
                    }
                    target
                });
            target.update(now, Arc::clone(upstream), warmup);
            self.targets.insert(name, target);
        }
        let orphaned = self.queue.iter().filter(|waiting| !self.accepts(waiting));
        let orphaned: Vec<AskKey> = orphaned.map(|waiting| waiting.key).collect();
        let queue = &mut self.queue;
        orphaned
            .iter()
            .filter_map(|key| queue.remove(key))
            .collect()
    }

    /// Returns whether a request could run on some upstream of the group.
    pub(super) fn accepts(&self, waiting: &Waiting) -> bool {
        self.targets.keys().any(|name| waiting.accepts(name))
    }

    /// Adds a request. Returns whether there was space for it.
    pub(super) fn push(&mut self, waiting: Waiting) -> bool {
        self.queue.push(waiting)
    }

    /// Removes a waiting request.
    pub(super) fn remove(&mut self, key: &AskKey) -> Option<Waiting> {
        self.queue.remove(key)
    }

    /// Removes all waiting requests.
    pub(super) fn drain(&mut self) -> Vec<Waiting> {
        self.queue.drain()
    }

    /// Removes the waiting requests whose time is over, each with the time after which its caller
    /// should return, in milliseconds.
    pub(super) fn expire(&mut self, now: TimeMs) -> Vec<(Waiting, u32)> {
        let mut queue = std::mem::take(&mut self.queue);
        let expired = queue.expire(now, |waiting| self.is_hopeless(now, waiting));
        self.queue = queue;
        for _ in &expired {
            self.record_decision(true);
        }
        let backlog_ms = u64::from(self.load(now).wait_ms);
        let with_retry = expired.into_iter().map(|waiting| {
            let retry_after_ms = self.retry_after_ms(now, &waiting, backlog_ms);
            (waiting, retry_after_ms)
        });
        with_retry.collect()
    }

    /// Removes the waiting requests that do not name their upstream.
    pub(super) fn drain_unnamed(&mut self) -> Vec<Waiting> {
        self.queue.drain_unnamed()
    }

    /// Returns whether no request waits.
    pub(super) const fn is_idle(&self) -> bool {
        self.queue.is_empty()
    }

    /// Records the return of a permit for an upstream.
    pub(super) fn record_return(
        &mut self,
        now: TimeMs,
        granted: &DiscoveredUpstream,
        returned: &PermitReturn,
    ) {
        if let Some(target) = self.targets.get_mut(&granted.entry.name)
            && target.born() == granted.entry.born
        {
            target.record_return(now, returned);
        }
    }

    /// Grants waiting requests, most urgent first, as far as there is room.
    pub(super) fn serve(&mut self, now: TimeMs) -> Vec<Grant> {
        let mut grants = Vec::new();
        let mut late: Vec<Waiting> = Vec::new();
        let mut late_sent: Set<UpstreamName> = new_set();
        for waiting in self.queue.in_order(now) {
            let is_late = waiting.is_late(now);
            let Some(name) = self.choose(now, &waiting) else {
                late.extend(is_late.then_some(waiting));
                continue;
            };
            let Some(target) = self.targets.get_mut(&name) else {
                continue;
            };
            target.record_sent(now);
            let upstream = Arc::clone(target.upstream());
            self.queue.remove(&waiting.key);
            self.record_decision(false);
            if is_late {
                late_sent.insert(name);
            }
            self.record_usual(waiting.usual_ms);
            grants.push(Grant { waiting, upstream });
        }
        for (name, target) in &mut self.targets {
            let has_late = late.iter().any(|waiting| waiting.accepts(name));
            target.record_late(now, has_late, late_sent.contains(name));
        }
        grants
    }

    fn record_usual(&mut self, usual_ms: u32) {
        let usual_ms = f64::from(usual_ms);
        if usual_ms > 0.0 && self.mean_ms > 0.0 {
            self.mean_ms += (usual_ms - self.mean_ms) * EWMA_WEIGHT;
        } else if usual_ms > 0.0 {
            self.mean_ms = usual_ms;
        }
    }

    /// Returns whether a request can only be late, and all its upstreams get requests in time only.
    fn is_hopeless(&self, now: TimeMs, waiting: &Waiting) -> bool {
        let mut usable = self
            .targets
            .iter()
            .filter(|(name, _)| waiting.accepts(name));
        waiting.is_late(now) && usable.all(|(_, target)| target.starves_late(now))
    }

    /// Returns the upstream with room on which a request is expected to end first.
    fn choose(&self, now: TimeMs, waiting: &Waiting) -> Option<UpstreamName> {
        let free = |(_, target): &(&UpstreamName, &Target)| target.verdict(now) == PaceVerdict::Now;
        let candidates: Box<dyn Iterator<Item = (&UpstreamName, &Target)>> = match &waiting.scope {
            PermitScope::Owner(owner) => Box::new(self.targets.get_key_value(owner).into_iter()),
            PermitScope::Any { .. } => Box::new(
                self.targets
                    .iter()
                    .filter(|(name, _)| waiting.accepts(name)),
            ),
        };
        let best = candidates.filter(free).min_by(|(a, one), (b, other)| {
            let order = expected_cost(one, now).total_cmp(&expected_cost(other, now));
            order.then_with(|| a.cmp(b))
        });
        best.map(|(name, _)| name.clone())
    }

    /// Decides about a request that has just been queued: it is removed again if the work ahead
    /// leaves no time to run it.
    pub(super) fn admit(&mut self, now: TimeMs, key: &AskKey) -> Admission {
        let Some(waiting) = self
            .queue
            .iter()
            .find(|waiting| waiting.key == *key)
            .cloned()
        else {
            return Admission::Refused(PermitRefusal::NotKept, RETRY_AFTER_MIN_MS as u32);
        };
        let wait_ms = self.expected_wait_ms(now, &waiting);
        let left_ms = waiting.expires_at().since(now);
        if wait_ms <= left_ms && left_ms > 0 && !self.is_hopeless(now, &waiting) {
            self.record_decision(false);
            return Admission::Waits(wait_ms.min(u64::from(u32::MAX)) as u32);
        }
        self.queue.remove(key);
        self.record_decision(true);
        let retry_after_ms = self.retry_after_ms(now, &waiting, wait_ms);
        let is_paused = self
            .earliest_at(now, &waiting)
            .is_some_and(|at| at.since(now) > left_ms);
        let refusal = if is_paused {
            PermitRefusal::Paused
        } else {
            PermitRefusal::Busy
        };
        Admission::Refused(refusal, retry_after_ms)
    }

    fn record_decision(&mut self, is_refused: bool) {
        let refused = if is_refused { 1.0 } else { 0.0 };
        self.refused_share += (refused - self.refused_share) * REFUSED_WEIGHT;
    }

    /// Returns when a refused caller should come back, in milliseconds: when the work ahead has
    /// fallen enough, and later the more callers are refused, because those who come back into the
    /// same overload are refused again.
    pub(super) fn retry_after_ms(&self, now: TimeMs, waiting: &Waiting, wait_ms: u64) -> u32 {
        let excess_ms = wait_ms.saturating_sub(waiting.expires_at().since(now));
        let latest_ms = waiting.deadline.since(now) * RETRY_LATEST_PERCENT / 100;
        let overload_ms = latest_ms as f64 * self.refused_share;
        let delay_ms = excess_ms.saturating_add(overload_ms as u64);
        spread(delay_ms.max(RETRY_AFTER_MIN_MS), &waiting.key)
    }

    /// Returns the time until an upstream that waits for a moment may be used, if none is usable
    /// before.
    fn earliest_at(&self, now: TimeMs, waiting: &Waiting) -> Option<TimeMs> {
        let usable = self
            .targets
            .iter()
            .filter(|(name, _)| waiting.accepts(name));
        let times = usable.map(|(_, target)| match target.verdict(now) {
            PaceVerdict::At(at) => at,
            PaceVerdict::Now | PaceVerdict::Full => now,
        });
        times.min().filter(|at| *at > now)
    }

    /// Returns the expected time until a request can be sent, in milliseconds: the work ahead of it,
    /// divided by the requests that its upstreams run at the same time.
    fn expected_wait_ms(&self, now: TimeMs, waiting: &Waiting) -> u64 {
        let place = waiting.place(now);
        let usable: Vec<(&UpstreamName, &Target)> = self
            .targets
            .iter()
            .filter(|(name, _)| waiting.accepts(name))
            .collect();
        let concurrency: f64 = usable
            .iter()
            .map(|(_, target)| target.concurrency(now))
            .sum();
        if concurrency <= 0.0 {
            return u64::MAX;
        }
        let slowness = usable
            .iter()
            .map(|(_, target)| target.slowness(now))
            .sum::<f64>()
            / usable.len().max(1) as f64;
        let in_flight: u32 = usable.iter().map(|(_, target)| target.in_flight()).sum();
        let running_ms = f64::from(in_flight) * self.mean_ms / 2.0;
        let ahead = self.queue.iter().filter(|other| {
            other.key != waiting.key
                && other.place(now) <= place
                && usable.iter().any(|(name, _)| other.accepts(name))
        });
        let ahead_ms: f64 = ahead.map(|other| f64::from(other.usual_ms)).sum();
        let work_ms = (running_ms + ahead_ms) * slowness / concurrency;
        let pause_ms = self.earliest_at(now, waiting).map_or(0, |at| at.since(now));
        (work_ms as u64).max(pause_ms)
    }

    /// Returns the load of the group, as a new request of an ordinary rank finds it.
    pub(super) fn load(&self, now: TimeMs) -> RoomLoad {
        let free = self.targets.values().map(|target| {
            if target.verdict(now) == PaceVerdict::Now {
                (target.concurrency(now) - f64::from(target.in_flight())).max(1.0)
            } else {
                0.0
            }
        });
        let targets = self.targets.values();
        let concurrency: f64 = targets.map(|target| target.concurrency(now)).sum();
        let waiting_ms: f64 = self
            .queue
            .iter()
            .map(|waiting| f64::from(waiting.usual_ms))
            .sum();
        RoomLoad {
            free: free.sum::<f64>().min(f64::from(u16::MAX)) as u16,
            wait_ms: (waiting_ms / concurrency.max(0.25)) as u32,
        }
    }

    /// Returns how many requests wait.
    pub(super) fn waiting(&self) -> usize {
        self.queue.iter().count()
    }
}

/// Returns the expected response time of another request, relative to the usual one.
fn expected_cost(target: &Target, now: TimeMs) -> f64 {
    target.slowness(now) * (1.0 + f64::from(target.in_flight()) / target.concurrency(now))
}

/// Adds up to a quarter to a delay, so that refused callers return one after the other.
fn spread(delay_ms: u64, key: &AskKey) -> u32 {
    let range_ms = (delay_ms * RETRY_SPREAD_PERCENT / 100).max(1);
    let hash = key.1.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    (delay_ms + hash % range_ms).min(u64::from(u32::MAX)) as u32
}

//! One group of upstreams at its keeper: who may send now, who waits, and who is refused.

use super::queue::{AskKey, Queue, Waiting};
use super::target::Target;
use super::{PermitRefusal, PermitReturn, PermitScope, RoomLoad};
use crate::directory::DiscoveredUpstream;
use crate::pace::PaceVerdict;
use balsam_types::{Map, TimeMs, UpstreamName, WarmupTerms, new_map};
use std::sync::Arc;

/// Weight of the newest request in the mean response time of a group.
const EWMA_WEIGHT: f64 = 0.05;

/// How long requests that can only be late may go without a grant before further ones are refused,
/// in milliseconds. Until then the overload may be a short burst.
const LATE_STALL_MS: u64 = 500;

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
    /// When a request that can only be late was last granted, or none was waiting.
    late_served_at: TimeMs,
}

impl Group {
    /// Creates a group without upstreams.
    pub(super) fn new(now: TimeMs) -> Self {
        Self {
            targets: new_map(),
            queue: Queue::default(),
            mean_ms: 0.0,
            late_served_at: now,
        }
    }

    /// Adopts the upstreams of the group. Returns the waiting requests whose owner is not among them
    /// any more.
    ///
    /// Cold upstreams that are new to the group get nothing before `cold_from`, because another
    /// keeper may just have sent them requests.
    pub(super) fn set_upstreams(
        &mut self,
        now: TimeMs,
        upstreams: &[Arc<DiscoveredUpstream>],
        warmup: Option<WarmupTerms>,
        cold_from: TimeMs,
    ) -> Vec<Waiting> {
        let mut former = std::mem::take(&mut self.targets);
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
                    target
                });
            target.update(now, Arc::clone(upstream), warmup);
            self.targets.insert(name, target);
        }
        let orphaned = self.queue.iter().filter(|waiting| match &waiting.scope {
            PermitScope::Owner(owner) => !self.targets.contains_key(owner),
            PermitScope::Any { .. } => false,
        });
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

    /// Removes the waiting requests that do not name their upstream.
    pub(super) fn drain_unnamed(&mut self) -> Vec<Waiting> {
        self.queue.drain_unnamed()
    }

    /// Removes the waiting requests that have too little time left.
    pub(super) fn expire(&mut self, now: TimeMs) -> Vec<Waiting> {
        self.queue.expire(now)
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
        if self.queue.is_empty() {
            self.late_served_at = now;
            return grants;
        }
        let mut has_late = false;
        for waiting in self.queue.in_order(now) {
            let is_late = waiting.place(now).is_late();
            let Some(name) = self.choose(now, &waiting) else {
                has_late |= is_late;
                continue;
            };
            let Some(target) = self.targets.get_mut(&name) else {
                continue;
            };
            target.record_sent(now);
            let upstream = Arc::clone(target.upstream());
            self.queue.remove(&waiting.key);
            if is_late {
                self.late_served_at = now;
            }
            if waiting.usual_ms > 0 {
                let usual_ms = f64::from(waiting.usual_ms);
                self.mean_ms = if self.mean_ms > 0.0 {
                    self.mean_ms + (usual_ms - self.mean_ms) * EWMA_WEIGHT
                } else {
                    usual_ms
                };
            }
            grants.push(Grant { waiting, upstream });
        }
        if !has_late {
            self.late_served_at = now;
        }
        grants
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
        let is_stalled =
            waiting.place(now).is_late() && now.since(self.late_served_at) >= LATE_STALL_MS;
        if wait_ms <= left_ms && left_ms > 0 && !is_stalled {
            return Admission::Waits(wait_ms.min(u64::from(u32::MAX)) as u32);
        }
        self.queue.remove(key);
        let excess_ms = wait_ms.saturating_sub(left_ms);
        let retry_after_ms = spread(excess_ms.max(RETRY_AFTER_MIN_MS), key);
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
        let concurrency: f64 = usable.iter().map(|(_, target)| target.concurrency()).sum();
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
                (target.concurrency() - f64::from(target.in_flight())).max(1.0)
            } else {
                0.0
            }
        });
        let concurrency: f64 = self.targets.values().map(Target::concurrency).sum();
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
    target.slowness(now) * (1.0 + f64::from(target.in_flight()) / target.concurrency())
}

/// Adds up to a quarter to a delay, so that refused callers return one after the other.
fn spread(delay_ms: u64, key: &AskKey) -> u32 {
    let range_ms = (delay_ms * RETRY_SPREAD_PERCENT / 100).max(1);
    let hash = key.1.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    (delay_ms + hash % range_ms).min(u64::from(u32::MAX)) as u32
}

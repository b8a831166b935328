//! The state machine that decides who may hold bytes.

use super::{
    HolderId, MemoryCounts, MemoryInput, MemoryOutput, MemoryRefusal, MemoryTerms, Purpose, Stall,
};
use balsam_types::{KeyHash, Map, TimeMs, new_map};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Longest body that counts as small.
const SMALL_MAX_BYTES: u64 = 256 << 10;

/// How long a body may wait for bytes. It must stay below the time in which callers must send the
/// next bytes, and leave time to serve requests with deadlines of a few seconds.
const WAIT_MAX_MS: u64 = 2_000;

/// Number of bodies that may wait. Each may fill a socket buffer meanwhile.
const WAITING_MAX: usize = 64;

/// How long bytes are assumed to be held until some holder has ended, in milliseconds.
const HOLD_ASSUMED_MS: u64 = 1_000;

/// Weight of the last duration in the usual duration, as a divisor.
const HOLD_WEIGHT_DIVISOR: u64 = 8;

/// Range of the retry time of a refusal, in milliseconds, before the spread is added.
const RETRY_MIN_MS: u64 = 250;
const RETRY_MAX_MS: u64 = 8_000;

/// Part of the retry time, as a divisor, by which retry times are spread.
const SPREAD_DIVISOR: u64 = 4;

/// Class of a reservation. Earlier classes are served first and may use more of the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Answer,
    SmallBody,
    LargeBody,
}

/// An exchange that holds bytes or waits for its first ones.
#[derive(Clone, Copy, Debug)]
struct Holder {
    held_bytes: u64,
    since: TimeMs,
    stalled: Option<(Stall, TimeMs)>,
    gives_way: bool,
    /// Key of its reservation in the queue, if it waits.
    waits_as: Option<WaiterKey>,
}

/// Position in the queue: class, and number by arrival.
type WaiterKey = (Class, u64);

#[derive(Clone, Copy, Debug)]
struct Waiter {
    holder: HolderId,
    bytes: u64,
    /// When the reservation is refused. Answers wait until their request ends.
    give_up_at: Option<TimeMs>,
}

/// The budget of one daemon.
#[derive(Debug)]
pub struct MemoryBudget {
    terms: MemoryTerms,
    holders: Map<HolderId, Holder>,
    waiters: BTreeMap<WaiterKey, Waiter>,
    next_waiter: u64,
    /// Usual duration of holding many bytes, and of holding few, in milliseconds.
    large_hold_ms: u64,
    small_hold_ms: u64,
    counts: MemoryCounts,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is reserved.
    pub fn new(terms: MemoryTerms) -> Self {
        Self {
            terms,
            holders: new_map(),
            waiters: BTreeMap::new(),
            next_waiter: 0,
            large_hold_ms: HOLD_ASSUMED_MS,
            small_hold_ms: HOLD_ASSUMED_MS,
            counts: MemoryCounts::default(),
        }
    }

    /// Returns the totals.
    pub fn counts(&self) -> MemoryCounts {
        MemoryCounts {
            waiting: self.waiters.len() as u64,
            ..self.counts
        }
    }

    /// Returns when the budget needs a [`MemoryInput::Tick`].
    pub fn next_wakeup(&self) -> Option<TimeMs> {
        let times = self.waiters.values().filter_map(|waiter| waiter.give_up_at);
        times.min()
    }

    /// Handles an input.
    pub fn handle(&mut self, now: TimeMs, input: MemoryInput) -> Vec<MemoryOutput> {
        let mut outputs = Vec::new();
        match input {
            MemoryInput::Reserve {
                holder,
                bytes,
                purpose,
            } => outputs.extend(self.reserve(now, holder, bytes, purpose)),
            MemoryInput::Release { holder, bytes } => self.release(holder, bytes),
            MemoryInput::Progress { holder, stall } => self.note_progress(now, holder, stall),
            MemoryInput::End { holder } => self.end(now, holder),
            MemoryInput::Tick => {}
        }
        self.grant_waiting(&mut outputs);
        self.give_up_waiting(now, &mut outputs);
        self.reclaim(&mut outputs);
        outputs
    }

    fn reserve(
        &mut self,
        now: TimeMs,
        id: HolderId,
        bytes: u64,
        purpose: Purpose,
    ) -> Option<MemoryOutput> {
        let holder = self.holders.entry(id).or_insert(Holder {
            held_bytes: 0,
            since: now,
            stalled: None,
            gives_way: false,
            waits_as: None,
        });
        let needed_bytes = holder.held_bytes.saturating_add(bytes);
        let class = match purpose {
            Purpose::Answer => Class::Answer,
            Purpose::Body if needed_bytes <= SMALL_MAX_BYTES => Class::SmallBody,
            Purpose::Body => Class::LargeBody,
        };
        if purpose == Purpose::Body && needed_bytes > self.limit(class) {
            self.counts.too_large += 1;
            return Some(MemoryOutput::Refuse(id, MemoryRefusal::TooLarge));
        }
        if purpose == Purpose::Body {
            let wait_ms = self.expected_wait_ms(now, class, bytes);
            let is_full = wait_ms > 0 && self.waiters.len() >= WAITING_MAX;
            if wait_ms > WAIT_MAX_MS || is_full {
                return Some(self.refuse_full(id, wait_ms));
            }
        }
        // A reservation that fits is granted by the caller of this method, behind those that wait.
        let key = (class, self.next_waiter);
        self.next_waiter += 1;
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.waits_as = Some(key);
        }
        let is_bounded = purpose == Purpose::Body;
        let waiter = Waiter {
            holder: id,
            bytes,
            give_up_at: is_bounded.then(|| now.after(WAIT_MAX_MS)),
        };
        if !self.fits(class, bytes) || self.has_earlier(key) {
            self.counts.waited += 1;
        }
        self.waiters.insert(key, waiter);
        None
    }

    fn refuse_full(&mut self, id: HolderId, wait_ms: u64) -> MemoryOutput {
        self.counts.refused += 1;
        let base_ms = wait_ms.clamp(RETRY_MIN_MS, RETRY_MAX_MS);
        let spread_ms = KeyHash::of(id.0.to_string()).0 % (base_ms / SPREAD_DIVISOR + 1);
        let retry_after_ms = base_ms + spread_ms;
        MemoryOutput::Refuse(id, MemoryRefusal::Full { retry_after_ms })
    }

    fn release(&mut self, id: HolderId, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let bytes = bytes.min(holder.held_bytes);
            holder.held_bytes -= bytes;
            self.counts.held_bytes -= bytes;
        }
    }

    fn note_progress(&mut self, now: TimeMs, id: HolderId, stall: Option<Stall>) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.stalled = match (stall, holder.stalled) {
                (Some(stall), Some((_, since))) => Some((stall, since)),
                (Some(stall), None) => Some((stall, now)),
                (None, _) => None,
            };
            holder.gives_way &= stall.is_some();
        }
    }

    fn end(&mut self, now: TimeMs, id: HolderId) {
        let Some(holder) = self.holders.remove(&id) else {
            return;
        };
        if let Some(key) = holder.waits_as {
            self.waiters.remove(&key);
        }
        self.counts.held_bytes -= holder.held_bytes;
        if holder.held_bytes > 0 {
            let took_ms = now.since(holder.since);
            let usual_ms = if holder.held_bytes > SMALL_MAX_BYTES {
                &mut self.large_hold_ms
            } else {
                &mut self.small_hold_ms
            };
            *usual_ms += took_ms / HOLD_WEIGHT_DIVISOR;
            *usual_ms -= *usual_ms / HOLD_WEIGHT_DIVISOR;
        }
    }

    const fn limit(&self, class: Class) -> u64 {
        match class {
            Class::Answer => self.terms.total_bytes,
            Class::SmallBody => self.terms.small_max_bytes(),
            Class::LargeBody => self.terms.large_max_bytes(),
        }
    }

    const fn fits(&self, class: Class, bytes: u64) -> bool {
        self.counts.held_bytes.saturating_add(bytes) <= self.limit(class)
    }

    /// Returns whether a reservation of the same class arrived earlier and still waits.
    fn has_earlier(&self, key: WaiterKey) -> bool {
        self.waiters.range((key.0, 0)..key).next().is_some()
    }

    /// Returns after which time a new reservation is expected to fit, in milliseconds.
    fn expected_wait_ms(&self, now: TimeMs, class: Class, bytes: u64) -> u64 {
        let ahead = self.waiters.range(..(class, u64::MAX));
        let ahead_bytes: u64 = ahead.map(|(_, waiter)| waiter.bytes).sum();
        let needed_bytes = self.counts.held_bytes + ahead_bytes + bytes;
        let Some(missing_bytes) = needed_bytes
            .checked_sub(self.limit(class))
            .filter(|missing_bytes| *missing_bytes > 0)
        else {
            return 0;
        };
        let mut ends: Vec<_> = self
            .holders
            .values()
            .filter(|holder| holder.held_bytes > 0)
            .map(|holder| (self.expected_hold_ms(now, holder), holder.held_bytes))
            .collect();
        ends.sort_unstable();
        let mut freed_bytes = 0;
        let mut last_end_ms = 0;
        for (end_ms, held_bytes) in ends {
            freed_bytes += held_bytes;
            last_end_ms = end_ms.max(1);
            if freed_bytes >= missing_bytes {
                return last_end_ms;
            }
        }
        // Reservations ahead will hold the bytes next, as many of them at a time as fit.
        let turns = (missing_bytes - freed_bytes).div_ceil(self.limit(class));
        last_end_ms + turns * self.large_hold_ms
    }

    /// Returns how much longer a holder is expected to hold its bytes, in milliseconds.
    ///
    /// A holder that has held them for longer than usual is expected to hold them for as long again.
    fn expected_hold_ms(&self, now: TimeMs, holder: &Holder) -> u64 {
        if holder.stalled.is_some() {
            return 0;
        }
        let usual_ms = if holder.held_bytes > SMALL_MAX_BYTES {
            self.large_hold_ms
        } else {
            self.small_hold_ms
        };
        let age_ms = now.since(holder.since);
        match usual_ms.checked_sub(age_ms) {
            Some(left_ms) => left_ms,
            None => age_ms,
        }
    }

    /// Grants what fits, in the order of the queue. A reservation that does not fit holds up those
    /// of its class, so that a large one is not overtaken without end.
    fn grant_waiting(&mut self, outputs: &mut Vec<MemoryOutput>) {
        for class in [Class::Answer, Class::SmallBody, Class::LargeBody] {
            while let Some((key, waiter)) = self.first_waiter(class) {
                if !self.fits(class, waiter.bytes) {
                    break;
                }
                self.waiters.remove(&key);
                self.counts.held_bytes += waiter.bytes;
                if let Some(holder) = self.holders.get_mut(&waiter.holder) {
                    holder.held_bytes += waiter.bytes;
                    holder.waits_as = None;
                }
                outputs.push(MemoryOutput::Grant(waiter.holder));
            }
        }
    }

    fn first_waiter(&self, class: Class) -> Option<(WaiterKey, Waiter)> {
        let mut range = self.waiters.range((class, 0)..=(class, u64::MAX));
        range.next().map(|(key, waiter)| (*key, *waiter))
    }

    fn give_up_waiting(&mut self, now: TimeMs, outputs: &mut Vec<MemoryOutput>) {
        let is_over = |waiter: &Waiter| waiter.give_up_at.is_some_and(|at| at <= now);
        let over: Vec<_> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| is_over(waiter))
            .map(|(key, waiter)| (*key, *waiter))
            .collect();
        for (key, waiter) in over {
            self.waiters.remove(&key);
            if let Some(holder) = self.holders.get_mut(&waiter.holder) {
                holder.waits_as = None;
            }
            let wait_ms = self.expected_wait_ms(now, key.0, waiter.bytes);
            outputs.push(self.refuse_full(waiter.holder, wait_ms));
        }
    }

    /// Tells stalled holders to give way until the first reservations that wait would fit.
    fn reclaim(&mut self, outputs: &mut Vec<MemoryOutput>) {
        let classes = [Class::Answer, Class::SmallBody, Class::LargeBody];
        let missing = classes.into_iter().filter_map(|class| {
            let (_, waiter) = self.first_waiter(class)?;
            let needed_bytes = self.counts.held_bytes + waiter.bytes;
            Some(needed_bytes.saturating_sub(self.limit(class)))
        });
        let Some(mut missing_bytes) = missing.max() else {
            return;
        };
        let leaving = self.holders.values().filter(|holder| holder.gives_way);
        missing_bytes = missing_bytes.saturating_sub(leaving.map(|holder| holder.held_bytes).sum());
        while missing_bytes > 0 {
            let candidates = self.holders.iter().filter_map(|(id, holder)| {
                let (stall, since) = holder.stalled?;
                let is_free = !holder.gives_way && holder.waits_as.is_none();
                let has_bytes = is_free && holder.held_bytes > 0;
                has_bytes.then_some((stall, Reverse(holder.held_bytes), since, *id))
            });
            let Some((stall, Reverse(bytes), _, id)) = candidates.min() else {
                return;
            };
            if let Some(holder) = self.holders.get_mut(&id) {
                holder.gives_way = true;
            }
            missing_bytes = missing_bytes.saturating_sub(bytes);
            self.counts.gave_way += 1;
            outputs.push(MemoryOutput::GiveWay {
                holder: id,
                stall,
                bytes,
            });
        }
    }
}

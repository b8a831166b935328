//! Where ranges of keys should be.

use super::load::keys_in;
use balsam_types::{Assignment, KeyRange, Map, Owner, ServiceRanges, ShardKey, new_map};

/// Ranges that each upstream gets when keys are assigned for the first time.
///
/// Busy keys lie close to one another; several narrow ranges spread them before any load is known.
const FIRST_RANGES: usize = 3;

/// Ranges at which several for each upstream are too many: the leader renews each of them in time.
const FIRST_RANGES_MAX: usize = 300;

/// Ranges that are moved for balance in one step, at least.
const BALANCE_MOVES_MIN: usize = 4;

/// Upstreams for which one more range is moved in a step.
const UPSTREAMS_PER_MOVE: usize = 8;

/// Steps whose ranges may be on their way before balance waits.
const MOVING_STEPS_MAX: usize = 2;

/// An upstream is relieved when its load is this much above the mean, in percent.
const RELIEVE_PERCENT: f64 = 130.0;

/// An upstream is relieved only if its load is this many sampled requests above the mean, so that
/// chance moves no keys.
const RELIEVE_REQUESTS: f64 = 4.0;

/// An upstream is relieved of more than another one has room for when its load is this much above
/// the mean, in percent.
const OVERLOADED_PERCENT: f64 = 160.0;

/// The greatest load of the next owner of a part that exceeds its room, as a part of the former
/// owner's load in percent; with equal loads the next plan would move it back.
const RELIEVED_PERCENT: f64 = 80.0;

/// The weight of one key beside sampled requests, so that idle ranges are spread as well.
const KEY_WEIGHT: f64 = 0.000_2;

/// Ranges of one upstream above which neighbours are joined again.
const RANGES_PER_UPSTREAM_MAX: usize = 8;

/// An upstream that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub owner: Owner,
    /// Its capacity, relative to others.
    pub weight: f64,
}

/// Which keys may move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveScope {
    /// Only those whose owner leaves or is lost.
    Needed,
    /// Also those that balance the load.
    All,
}

/// Returns better assignments than `ranges`, or `None` if there is nothing to change.
///
/// `keys` are the keys of recent requests in order. Ranges whose owner is not a candidate get
/// another one; a candidate without keys gets some; then busy upstreams are relieved.
pub fn plan(
    ranges: &ServiceRanges,
    candidates: &[Candidate],
    keys: &[ShardKey],
    moves: MoveScope,
) -> Option<ServiceRanges> {
    if candidates.is_empty() {
        return None;
    }
    let mut places = new_map();
    let owners = candidates.iter().enumerate();
    places.extend(owners.map(|(at, candidate)| (&candidate.owner, at)));
    let mut draft = Draft {
        ranges: ranges.clone(),
        candidates,
        places,
        keys,
        loads: vec![0.0; candidates.len()],
    };
    if draft.ranges.assignments.is_empty() {
        draft.assign_first();
        return Some(draft.ranges);
    }
    draft.measure();
    let replaced = draft.replace_owners();
    let relieved = moves == MoveScope::All && draft.balance();
    let joined = draft.join_neighbours();
    (replaced || relieved || joined).then_some(draft.ranges)
}

struct Draft<'a> {
    ranges: ServiceRanges,
    candidates: &'a [Candidate],
    /// The places of the candidates by owner.
    places: Map<&'a Owner, usize>,
    keys: &'a [ShardKey],
    loads: Vec<f64>,
}

impl Draft<'_> {
    fn assign_first(&mut self) {
        let count = self.candidates.len();
        let pieces = (count * FIRST_RANGES).min(FIRST_RANGES_MAX).max(count);
        let width = (1 + usize::from(u16::MAX)) / pieces.max(1);
        for piece in 0..pieces {
            let first = piece * width;
            let last = if piece + 1 == pieces {
                usize::from(u16::MAX)
            } else {
                first + width - 1
            };
            let range = KeyRange {
                first: first as u16,
                last: last as u16,
            };
            let owner = self.candidates[piece % self.candidates.len()].owner.clone();
            let fence = self.ranges.allocate_fence();
            self.ranges.assignments.push(Assignment {
                range,
                fence,
                owner,
                former: Vec::new(),
            });
        }
    }

    fn measure(&mut self) {
        for assignment in &self.ranges.assignments {
            if let Some(at) = self.candidate(&assignment.owner) {
                self.loads[at] += self.load(assignment.range);
            }
        }
    }

    fn candidate(&self, owner: &Owner) -> Option<usize> {
        self.places.get(owner).copied()
    }

    fn load(&self, range: KeyRange) -> f64 {
        let requests = keys_in(self.keys, range).len() as f64;
        f64::from(range.len()).mul_add(KEY_WEIGHT, requests)
    }

    fn relative(&self, at: usize) -> f64 {
        self.loads[at] / self.candidates[at].weight.max(0.01)
    }

    fn least_loaded(&self) -> usize {
        let places = 0..self.candidates.len();
        let least = places.min_by(|a, b| self.relative(*a).total_cmp(&self.relative(*b)));
        least.unwrap_or(0)
    }

    fn mean(&self) -> f64 {
        let weights: f64 = self
            .candidates
            .iter()
            .map(|candidate| candidate.weight)
            .sum();
        self.loads.iter().sum::<f64>() / weights.max(0.01)
    }

    /// Gives the ranges of owners that are no candidates to the least loaded ones, in pieces.
    fn replace_owners(&mut self) -> bool {
        let mut changed = false;
        let mut at = 0;
        while at < self.ranges.assignments.len() {
            let range = self.ranges.assignments[at].range;
            if self.candidate(&self.ranges.assignments[at].owner).is_some() {
                at += 1;
                continue;
            }
            let total: f64 = self.loads.iter().sum::<f64>() + self.load(range);
            let share = total / self.candidates.len() as f64 / 2.0;
            if self.load(range) > 2.0 * share
                && let Some(cut) = self.cut_by_load(range, share)
            {
                self.split(at, cut);
            }
            let to = self.least_loaded();
            self.loads[to] += self.load(self.ranges.assignments[at].range);
            self.give(at, to);
            changed = true;
            at += 1;
        }
        changed
    }

    /// Moves keys from busy upstreams to those that have least to do.
    fn balance(&mut self) -> bool {
        let mut moved = 0;
        let mut tried = vec![false; self.candidates.len()];
        let moves_max = BALANCE_MOVES_MIN.max(self.candidates.len() / UPSTREAMS_PER_MOVE);
        while moved < moves_max && self.moving() < moves_max * MOVING_STEPS_MAX {
            let mean = self.mean();
            let open = (0..self.candidates.len()).filter(|at| !tried[*at]);
            let Some(hot) = open.max_by(|a, b| self.relative(*a).total_cmp(&self.relative(*b)))
            else {
                break;
            };
            let cold = self.least_loaded();
            let fair = mean * self.candidates[hot].weight;
            let excess = self.loads[hot] - fair;
            let room = mean.mul_add(self.candidates[cold].weight, -self.loads[cold]);
            let owns_nothing = self.owns_nothing(cold);
            let is_hot =
                self.loads[hot] * 100.0 > fair * RELIEVE_PERCENT && excess >= RELIEVE_REQUESTS;
            if hot == cold || !(is_hot || owns_nothing) {
                break;
            }
            let want = if owns_nothing {
                room.min(self.loads[hot] / 2.0)
            } else {
                room.min(excess)
            };
            match self.piece(hot, cold, want) {
                Some((at, range)) => {
                    let load = self.load(range);
                    let at = self.carve(at, range);
                    self.give(at, cold);
                    self.loads[hot] -= load;
                    self.loads[cold] += load;
                    moved += 1;
                }
                None => tried[hot] = true,
            }
        }
        moved > 0
    }

    fn moving(&self) -> usize {
        self.ranges
            .assignments
            .iter()
            .filter(|found| found.is_moving())
            .count()
    }

    fn owns_nothing(&self, at: usize) -> bool {
        let owner = &self.candidates[at].owner;
        !self
            .ranges
            .assignments
            .iter()
            .any(|found| found.owner == *owner)
    }

    /// Finds a part of one range of a busy upstream whose load comes closest to `want`.
    ///
    /// A busy key may exceed the room of every other upstream. It moves if its next owner is then
    /// clearly less busy than its former one was, because two such keys may not stay together. One
    /// without busy neighbours stays: it would overload every owner.
    fn piece(&self, hot: usize, cold: usize, want: f64) -> Option<(usize, KeyRange)> {
        let owner = &self.candidates[hot].owner;
        let numbered = self.ranges.assignments.iter().enumerate();
        let settled = numbered.filter(|(_, found)| found.owner == *owner && !found.is_moving());
        let is_overloaded = self.relative(hot) * 100.0 > self.mean() * OVERLOADED_PERCENT;
        let taken_max = self.relative(hot) * RELIEVED_PERCENT / 100.0;
        let fair = self.mean() * self.candidates[hot].weight;
        let weight = self.candidates[cold].weight.max(0.01);
        let mut fitting: Option<(f64, usize, KeyRange)> = None;
        let mut relieving: Option<(f64, usize, KeyRange)> = None;
        for (at, found) in settled {
            for range in self.parts(found.range, want) {
                let load = self.load(range);
                let taken = (self.loads[cold] + load) / weight;
                if load > 0.0 && load <= want * 1.6 + KEY_WEIGHT {
                    keep_least(&mut fitting, ((load - want).abs(), at, range));
                } else if is_overloaded
                    && taken <= taken_max
                    && self.loads[hot] - load >= fair
                    && self.is_one_key(range)
                {
                    keep_least(&mut relieving, (taken, at, range));
                }
            }
        }
        fitting.or(relieving).map(|(_, at, range)| (at, range))
    }

    /// Returns whether all requests for keys of a range are for one key.
    fn is_one_key(&self, range: KeyRange) -> bool {
        let keys = keys_in(self.keys, range);
        keys.first() == keys.last()
    }

    /// Returns parts of a range with about `want` load: the whole, and some from either end.
    fn parts(&self, range: KeyRange, want: f64) -> Vec<KeyRange> {
        let mut parts = vec![range];
        let keys = keys_in(self.keys, range);
        if keys.is_empty() {
            let share = (want / (f64::from(range.len()) * KEY_WEIGHT)).clamp(0.0, 1.0);
            let width = (f64::from(range.len()) * share) as u32;
            if width > 0 && width < range.len() {
                parts.push(KeyRange {
                    last: range.first + (width - 1) as u16,
                    ..range
                });
            }
            return parts;
        }
        let count = (want.round().max(1.0) as usize).min(keys.len());
        // Requests for one key cannot be divided: the cut lies before or behind all of them.
        for key in [keys[count - 1].0, keys[keys.len() - count].0] {
            parts.push(KeyRange {
                first: range.first,
                last: key,
            });
            parts.push(KeyRange {
                first: key,
                last: range.last,
            });
            if key > range.first {
                parts.push(KeyRange {
                    first: range.first,
                    last: key - 1,
                });
            }
            if key < range.last {
                parts.push(KeyRange {
                    first: key + 1,
                    last: range.last,
                });
            }
        }
        parts
    }

    /// Returns the last key of the first part of a range that has about `share` load.
    fn cut_by_load(&self, range: KeyRange, share: f64) -> Option<u16> {
        let keys = keys_in(self.keys, range);
        let cut = match keys.get(share as usize) {
            Some(key) => key.0,
            None => range.first + ((range.last - range.first) / 2),
        };
        (range.first <= cut && cut < range.last).then_some(cut)
    }

    /// Splits an assignment behind `last`.
    fn split(&mut self, at: usize, last: u16) {
        let mut right = self.ranges.assignments[at].clone();
        right.range.first = last + 1;
        self.ranges.assignments[at].range.last = last;
        self.ranges.assignments.insert(at + 1, right);
    }

    /// Splits an assignment so that one has exactly `range`; returns its place.
    fn carve(&mut self, mut at: usize, range: KeyRange) -> usize {
        if self.ranges.assignments[at].range.first < range.first {
            self.split(at, range.first - 1);
            at += 1;
        }
        if self.ranges.assignments[at].range.last > range.last {
            self.split(at, range.last);
        }
        at
    }

    /// Makes a candidate the next owner of an assignment.
    fn give(&mut self, at: usize, to: usize) {
        let fence = self.ranges.allocate_fence();
        let owner = self.candidates[to].owner.clone();
        let assignment = &mut self.ranges.assignments[at];
        let former = std::mem::replace(&mut assignment.owner, owner);
        if !assignment.former.contains(&former) {
            assignment.former.push(former);
        }
        assignment.fence = fence;
    }

    /// Joins settled neighbours of one owner while it has many ranges.
    fn join_neighbours(&mut self) -> bool {
        let limit = self.candidates.len() * RANGES_PER_UPSTREAM_MAX;
        let mut joined = false;
        let mut at = 0;
        while at + 1 < self.ranges.assignments.len() && self.ranges.assignments.len() > limit {
            let (left, right) = (
                &self.ranges.assignments[at],
                &self.ranges.assignments[at + 1],
            );
            if left.owner == right.owner && !left.is_moving() && !right.is_moving() {
                let right = self.ranges.assignments.remove(at + 1);
                let fence = self.ranges.allocate_fence();
                let left = &mut self.ranges.assignments[at];
                left.range.last = right.range.last;
                left.fence = fence;
                joined = true;
            } else {
                at += 1;
            }
        }
        joined
    }
}

/// Keeps the one of two found parts whose first field is less.
fn keep_least(best: &mut Option<(f64, usize, KeyRange)>, found: (f64, usize, KeyRange)) {
    if best.is_none_or(|(least, ..)| found.0 < least) {
        *best = Some(found);
    }
}

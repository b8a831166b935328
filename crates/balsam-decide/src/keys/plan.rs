//! Planning of assignments: which upstream should own which range of keys.

use super::load::keys_in;
use balsam_types::{Assignment, KeyRange, Map, Owner, ServiceRanges, ShardKey, new_map};

/// Number of ranges for each upstream in the first assignment.
///
/// Busy keys are often adjacent. Several narrow ranges for each upstream spread them before any
/// load is known.
const FIRST_RANGES_PER_UPSTREAM: usize = 3;

/// Maximum number of ranges in the first assignment, unless there are more upstreams. The leader
/// can renew so many ranges in time.
const FIRST_RANGES_MAX: usize = 300;

/// Lower bound of the limit on ranges moved for balance in one plan.
const BALANCE_MOVES_MIN: usize = 4;

/// Number of upstreams for which the limit on moved ranges grows by one.
const UPSTREAMS_PER_MOVE: usize = 8;

/// Balancing pauses while more ranges are moving than this many plans may move.
const MOVING_PLANS_MAX: usize = 2;

/// An upstream is relieved of keys if its load is above this percentage of the mean.
const RELIEVE_PERCENT: f64 = 130.0;

/// An upstream is relieved of keys only if its load exceeds the mean by this many sampled requests,
/// so that random variation moves no keys.
const RELIEVE_REQUESTS: f64 = 4.0;

/// Load relative to the mean, in percent, above which an upstream may hand a busy key to an
/// upstream that has too little headroom for it.
const OVERLOADED_PERCENT: f64 = 160.0;

/// Maximum load of the upstream that receives such a key, in percent of the load of the former
/// owner. With equal loads the next plan would move the key back.
const RECEIVER_LOAD_PERCENT: f64 = 80.0;

/// Load of each key in addition to its sampled requests, so that idle ranges are spread as well.
const IDLE_KEY_LOAD: f64 = 0.000_2;

/// Average number of ranges per upstream above which adjacent ranges are merged.
const RANGES_PER_UPSTREAM_MAX: usize = 8;

/// An upstream that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub owner: Owner,
    /// Its capacity relative to other candidates.
    pub weight: f64,
}

/// Which keys a plan may move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveScope {
    /// Only keys whose owner is draining or lost.
    Needed,
    /// Also keys whose move balances the load.
    All,
}

/// Returns assignments that improve on `ranges`, or `None` if nothing needs to change.
///
/// `keys` are the keys of recent requests in ascending order. Ranges whose owner is not a candidate
/// get a new owner. With [`MoveScope::All`], candidates without keys then get some and busy
/// upstreams are relieved of some. Finally, adjacent ranges are merged if there are many.
pub fn plan(
    ranges: &ServiceRanges,
    candidates: &[Candidate],
    keys: &[ShardKey],
    moves: MoveScope,
) -> Option<ServiceRanges> {
    if candidates.is_empty() {
        return None;
    }
    let mut indices = new_map();
    let owners = candidates.iter().enumerate();
    indices.extend(owners.map(|(index, candidate)| (&candidate.owner, index)));
    let mut draft = Draft {
        ranges: ranges.clone(),
        candidates,
        indices,
        keys,
        loads: vec![0.0; candidates.len()],
    };
    if draft.ranges.assignments.is_empty() {
        draft.assign_first();
        return Some(draft.ranges);
    }
    draft.compute_loads();
    let has_replaced = draft.replace_owners();
    let has_balanced = moves == MoveScope::All && draft.balance();
    let has_merged = draft.merge_adjacent();
    (has_replaced || has_balanced || has_merged).then_some(draft.ranges)
}

/// Assignments that are being changed, and the load of each candidate under them.
struct Draft<'a> {
    ranges: ServiceRanges,
    candidates: &'a [Candidate],
    /// The index of each candidate, by owner.
    indices: Map<&'a Owner, usize>,
    keys: &'a [ShardKey],
    loads: Vec<f64>,
}

impl Draft<'_> {
    fn assign_first(&mut self) {
        let count = self.candidates.len();
        let subranges = (count * FIRST_RANGES_PER_UPSTREAM)
            .min(FIRST_RANGES_MAX)
            .max(count);
        let width = (1 + usize::from(u16::MAX)) / subranges.max(1);
        for subrange in 0..subranges {
            let first = subrange * width;
            let last = if subrange + 1 == subranges {
                usize::from(u16::MAX)
            } else {
                first + width - 1
            };
            let range = KeyRange {
                first: first as u16,
                last: last as u16,
            };
            let owner = self.candidates[subrange % self.candidates.len()]
                .owner
                .clone();
            let fence = self.ranges.allocate_fence();
            self.ranges.assignments.push(Assignment {
                range,
                fence,
                owner,
                former: Vec::new(),
            });
        }
    }

    fn compute_loads(&mut self) {
        for assignment in &self.ranges.assignments {
            if let Some(index) = self.candidate(&assignment.owner) {
                self.loads[index] += self.load(assignment.range);
            }
        }
    }

    fn candidate(&self, owner: &Owner) -> Option<usize> {
        self.indices.get(owner).copied()
    }

    fn load(&self, range: KeyRange) -> f64 {
        let requests = keys_in(self.keys, range).len() as f64;
        f64::from(range.len()).mul_add(IDLE_KEY_LOAD, requests)
    }

    fn relative_load(&self, index: usize) -> f64 {
        self.loads[index] / self.candidates[index].weight.max(0.01)
    }

    fn least_loaded(&self) -> usize {
        let indices = 0..self.candidates.len();
        let least =
            indices.min_by(|a, b| self.relative_load(*a).total_cmp(&self.relative_load(*b)));
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

    /// Assigns ranges whose owner is not a candidate to the least loaded candidates, and splits
    /// large ranges to do so.
    fn replace_owners(&mut self) -> bool {
        let mut changed = false;
        let mut index = 0;
        while index < self.ranges.assignments.len() {
            let range = self.ranges.assignments[index].range;
            if self
                .candidate(&self.ranges.assignments[index].owner)
                .is_some()
            {
                index += 1;
                continue;
            }
            let total: f64 = self.loads.iter().sum::<f64>() + self.load(range);
            let share = total / self.candidates.len() as f64 / 2.0;
            if self.load(range) > 2.0 * share
                && let Some(cut) = self.cut_by_load(range, share)
            {
                self.split(index, cut);
            }
            let to = self.least_loaded();
            self.loads[to] += self.load(self.ranges.assignments[index].range);
            self.assign_to(index, to);
            changed = true;
            index += 1;
        }
        changed
    }

    /// Moves keys from the busiest upstreams to the least loaded ones.
    fn balance(&mut self) -> bool {
        let mut moved = 0;
        let mut tried = vec![false; self.candidates.len()];
        let moves_max = BALANCE_MOVES_MIN.max(self.candidates.len() / UPSTREAMS_PER_MOVE);
        while moved < moves_max && self.moving() < moves_max * MOVING_PLANS_MAX {
            let mean = self.mean();
            let untried = (0..self.candidates.len()).filter(|index| !tried[*index]);
            let Some(hot) =
                untried.max_by(|a, b| self.relative_load(*a).total_cmp(&self.relative_load(*b)))
            else {
                break;
            };
            let cold = self.least_loaded();
            let fair_load = mean * self.candidates[hot].weight;
            let excess = self.loads[hot] - fair_load;
            let headroom = mean.mul_add(self.candidates[cold].weight, -self.loads[cold]);
            let owns_nothing = self.owns_nothing(cold);
            let is_hot =
                self.loads[hot] * 100.0 > fair_load * RELIEVE_PERCENT && excess >= RELIEVE_REQUESTS;
            if hot == cold || !(is_hot || owns_nothing) {
                break;
            }
            let wanted_load = if owns_nothing {
                headroom.min(self.loads[hot] / 2.0)
            } else {
                headroom.min(excess)
            };
            match self.subrange(hot, cold, wanted_load) {
                Some((index, range)) => {
                    let load = self.load(range);
                    let index = self.isolate(index, range);
                    self.assign_to(index, cold);
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

    fn owns_nothing(&self, index: usize) -> bool {
        let owner = &self.candidates[index].owner;
        !self
            .ranges
            .assignments
            .iter()
            .any(|found| found.owner == *owner)
    }

    /// Finds a part of a range of the upstream `hot` that should move to the upstream `cold`;
    /// preferably the one whose load is closest to `wanted_load`.
    ///
    /// A busy key may exceed the headroom of every other upstream. It still moves if its next owner
    /// will be clearly less busy than its former owner was, because two such keys should not stay
    /// together. A busy key without busy neighbours stays, since it would overload any owner.
    fn subrange(&self, hot: usize, cold: usize, wanted_load: f64) -> Option<(usize, KeyRange)> {
        let owner = &self.candidates[hot].owner;
        let numbered = self.ranges.assignments.iter().enumerate();
        let stable = numbered.filter(|(_, found)| found.owner == *owner && !found.is_moving());
        let is_overloaded = self.relative_load(hot) * 100.0 > self.mean() * OVERLOADED_PERCENT;
        let receiver_load_max = self.relative_load(hot) * RECEIVER_LOAD_PERCENT / 100.0;
        let fair_load = self.mean() * self.candidates[hot].weight;
        let weight = self.candidates[cold].weight.max(0.01);
        let mut fitting: Option<(f64, usize, KeyRange)> = None;
        let mut relieving: Option<(f64, usize, KeyRange)> = None;
        for (index, found) in stable {
            for range in self.parts(found.range, wanted_load) {
                let load = self.load(range);
                let receiver_load = (self.loads[cold] + load) / weight;
                if load > 0.0 && load <= wanted_load * 1.6 + IDLE_KEY_LOAD {
                    keep_minimum(&mut fitting, ((load - wanted_load).abs(), index, range));
                } else if is_overloaded
                    && receiver_load <= receiver_load_max
                    && self.loads[hot] - load >= fair_load
                    && self.is_one_key(range)
                {
                    keep_minimum(&mut relieving, (receiver_load, index, range));
                }
            }
        }
        fitting
            .or(relieving)
            .map(|(_, index, range)| (index, range))
    }

    /// Returns whether all sampled requests of a range are for the same key.
    fn is_one_key(&self, range: KeyRange) -> bool {
        let keys = keys_in(self.keys, range);
        keys.first() == keys.last()
    }

    /// Returns parts of a range with a load of about `wanted_load`: the whole range, and parts from
    /// either end.
    fn parts(&self, range: KeyRange, wanted_load: f64) -> Vec<KeyRange> {
        let mut parts = vec![range];
        let keys = keys_in(self.keys, range);
        if keys.is_empty() {
            let share = (wanted_load / (f64::from(range.len()) * IDLE_KEY_LOAD)).clamp(0.0, 1.0);
            let width = (f64::from(range.len()) * share) as u32;
            if width > 0 && width < range.len() {
                parts.push(KeyRange {
                    last: range.first + (width - 1) as u16,
                    ..range
                });
            }
            return parts;
        }
        let count = (wanted_load.round().max(1.0) as usize).min(keys.len());
        // Requests for one key cannot be divided, so a part ends before or after all of them.
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

    /// Returns the last key of a first part of a range that has a load of about `share`.
    fn cut_by_load(&self, range: KeyRange, share: f64) -> Option<u16> {
        let keys = keys_in(self.keys, range);
        let cut = match keys.get(share as usize) {
            Some(key) => key.0,
            None => range.first + ((range.last - range.first) / 2),
        };
        (range.first <= cut && cut < range.last).then_some(cut)
    }

    /// Splits an assignment after the key `last`.
    fn split(&mut self, index: usize, last: u16) {
        let mut right = self.ranges.assignments[index].clone();
        right.range.first = last + 1;
        self.ranges.assignments[index].range.last = last;
        self.ranges.assignments.insert(index + 1, right);
    }

    /// Splits an assignment so that one of the parts has exactly `range`; returns the index of that
    /// part.
    fn isolate(&mut self, mut index: usize, range: KeyRange) -> usize {
        if self.ranges.assignments[index].range.first < range.first {
            self.split(index, range.first - 1);
            index += 1;
        }
        if self.ranges.assignments[index].range.last > range.last {
            self.split(index, range.last);
        }
        index
    }

    /// Makes a candidate the next owner of an assignment.
    fn assign_to(&mut self, index: usize, to: usize) {
        let fence = self.ranges.allocate_fence();
        let owner = self.candidates[to].owner.clone();
        let assignment = &mut self.ranges.assignments[index];
        let former = std::mem::replace(&mut assignment.owner, owner);
        if !assignment.former.contains(&former) {
            assignment.former.push(former);
        }
        assignment.fence = fence;
    }

    /// Merges adjacent ranges of one owner that are not moving, while there are too many ranges.
    fn merge_adjacent(&mut self) -> bool {
        let limit = self.candidates.len() * RANGES_PER_UPSTREAM_MAX;
        let mut has_merged = false;
        let mut index = 0;
        while index + 1 < self.ranges.assignments.len() && self.ranges.assignments.len() > limit {
            let (left, right) = (
                &self.ranges.assignments[index],
                &self.ranges.assignments[index + 1],
            );
            if left.owner == right.owner && !left.is_moving() && !right.is_moving() {
                let right = self.ranges.assignments.remove(index + 1);
                let fence = self.ranges.allocate_fence();
                let left = &mut self.ranges.assignments[index];
                left.range.last = right.range.last;
                left.fence = fence;
                has_merged = true;
            } else {
                index += 1;
            }
        }
        has_merged
    }
}

/// Replaces `best` by `found` if the first field of `found` is less.
fn keep_minimum(best: &mut Option<(f64, usize, KeyRange)>, found: (f64, usize, KeyRange)) {
    if best.is_none_or(|(least, ..)| found.0 < least) {
        *best = Some(found);
    }
}

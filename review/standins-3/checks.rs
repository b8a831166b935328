//! The checks of the rule OWNER.

use crate::holds::{Keys, TargetState, overlap};
use crate::target::Service;
use std::thread;
use std::time::Duration;

/// Time for which two targets may hold the same keys.
const OVERLAP_MAX_MS: u64 = 500;

/// `drain_s`.
const DRAIN_MS: u64 = 2_000;

impl Service {
    /// Checks that a request does not reach a target too long after it has begun to drain. The first
    /// such request of each target is a violation; the others are recorded only.
    pub fn check_drain(&self, state: &mut TargetState, id: &str) {
        let Some(since_ms) = state.draining_since_ms else {
            return;
        };
        let late_ms = self.now_ms().saturating_sub(since_ms);
        if late_ms <= DRAIN_MS {
            return;
        }
        let name = &state.name;
        let line = format!(
            "DRAIN: {id} reaches target {name} {late_ms} ms after the store has acknowledged that it drains"
        );
        if state.has_late_requests {
            self.record.line(&line);
        } else {
            self.record.violation(&line);
        }
        state.has_late_requests = true;
    }

    /// Checks a grant that a target accepts against what another one holds and does.
    pub fn check_grant(
        &self,
        name: &str,
        keys: Keys,
        fence: u64,
        other: &TargetState,
        now_ms: u64,
    ) {
        let is_used = |(of, taken): &&(Keys, u64)| overlap(*of, keys) && *taken >= fence;
        // A later life of the same target is not another one.
        if other.name != name
            && let Some((of, taken)) = other.taken.iter().find(is_used)
        {
            self.record.violation(&format!(
                "OWNER: target {name} takes {}-{} with fence {fence}, but {} took {}-{} with {taken}",
                keys.0, keys.1, other.name, of.0, of.1
            ));
        }
        if !other.is_up {
            return;
        }
        for work in other
            .work
            .iter()
            .filter(|work| overlap(keys, (work.key, work.key)))
        {
            let would_hold = other.would_run_out.iter();
            let mut would_hold = would_hold
                .filter(|(of, until_ms)| overlap(*of, (work.key, work.key)) && *until_ms > now_ms);
            if let Some((_, until_ms)) = would_hold.next() {
                self.record.violation(&format!(
                    "OWNER: target {name} is given {}-{} with fence {fence} while {} is still at work on request {} of key {}; its hold would run out in {} ms",
                    keys.0, keys.1, other.name, work.id, work.key, until_ms - now_ms
                ));
            }
        }
    }

    /// Looks for keys that two targets hold for too long.
    pub fn watch_overlaps(&self) {
        let mut since: Vec<((usize, usize), u64)> = Vec::new();
        loop {
            thread::sleep(Duration::from_millis(20));
            let now_ms = self.now_ms();
            let targets = self.lock();
            let mut found = Vec::new();
            for (one, state) in targets.iter().enumerate().filter(|(_, state)| state.is_up) {
                for (other, later) in targets
                    .iter()
                    .enumerate()
                    .skip(one + 1)
                    .filter(|(_, later)| later.is_up)
                {
                    let holds = |state: &TargetState| -> Vec<Keys> {
                        state
                            .holds
                            .iter()
                            .filter(|hold| hold.until_ms > now_ms)
                            .map(|hold| hold.keys)
                            .collect()
                    };
                    let other_keys = holds(later);
                    if holds(state)
                        .iter()
                        .any(|keys| other_keys.iter().any(|others| overlap(*keys, *others)))
                    {
                        found.push((one, other));
                    }
                }
            }
            since.retain(|(pair, _)| found.contains(pair));
            for pair in found {
                match since.iter_mut().find(|(known, _)| *known == pair) {
                    Some((_, at)) if now_ms.saturating_sub(*at) > OVERLAP_MAX_MS && *at > 0 => {
                        *at = 0;
                        let (one, other) = (&targets[pair.0].name, &targets[pair.1].name);
                        self.record.violation(&format!("OWNER: targets {one} and {other} hold the same keys for over {OVERLAP_MAX_MS} ms"));
                    }
                    Some(_) => {}
                    None => since.push((pair, now_ms)),
                }
            }
        }
    }
}

//! What a target holds, has seen and works at.

use std::net::TcpStream;

/// Keys from the first to the last one.
pub type Keys = (u16, u16);

pub const fn overlap(one: Keys, other: Keys) -> bool {
    one.0 <= other.1 && other.0 <= one.1
}

/// Keys that a target holds.
pub struct Hold {
    pub keys: Keys,
    pub fence: u64,
    pub until_ms: u64,
}

/// A request at which a target works.
pub struct Work {
    pub number: u64,
    pub id: String,
    pub key: u16,
}

/// The state of one target.
#[derive(Default)]
pub struct TargetState {
    pub name: String,
    /// The entry as the target last wrote it, until it is removed.
    pub entry: Option<String>,
    pub is_up: bool,
    /// When the store has accepted that the target is draining.
    pub draining_since_ms: Option<u64>,
    /// Whether a request was seen that came too late for that.
    pub has_late_requests: bool,
    pub holds: Vec<Hold>,
    /// The highest tokens that were seen, by keys.
    pub seen: Vec<(Keys, u64)>,
    /// The tokens with which keys were taken.
    pub taken: Vec<(Keys, u64)>,
    /// When the grants would run out, also if the keys were released since.
    pub would_run_out: Vec<(Keys, u64)>,
    pub work: Vec<Work>,
    pub waiting: usize,
    pub streams: Vec<TcpStream>,
}

impl TargetState {
    pub fn holds(&self, key: u16, now_ms: u64) -> bool {
        self.holds
            .iter()
            .any(|hold| overlap(hold.keys, (key, key)) && now_ms < hold.until_ms)
    }

    pub fn highest_seen(&self, keys: Keys) -> u64 {
        let seen = self.seen.iter().filter(|(of, _)| overlap(*of, keys));
        seen.map(|(_, fence)| *fence).max().unwrap_or(0)
    }

    /// Takes keys out of the holds. What a hold has beside them stays.
    pub fn drop_keys(&mut self, keys: Keys) {
        let mut rest = Vec::new();
        for hold in std::mem::take(&mut self.holds) {
            if !overlap(hold.keys, keys) {
                rest.push(hold);
                continue;
            }
            let (fence, until_ms) = (hold.fence, hold.until_ms);
            if hold.keys.0 < keys.0 {
                rest.push(Hold {
                    keys: (hold.keys.0, keys.0 - 1),
                    fence,
                    until_ms,
                });
            }
            if hold.keys.1 > keys.1 {
                rest.push(Hold {
                    keys: (keys.1 + 1, hold.keys.1),
                    fence,
                    until_ms,
                });
            }
        }
        self.holds = rest;
    }
}

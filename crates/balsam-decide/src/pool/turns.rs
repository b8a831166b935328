//! Turns of the daemons at cold upstreams whose requests no keeper spaces.

use crate::directory::DiscoveredUpstream;
use balsam_types::{KeyHash, TimeMs, WarmupTerms};

/// Number of daemons up to which each has one turn in a cycle of as many turns. Even if the turns of
/// all of them collide, each sends one request, and a cold upstream tolerates that many at once.
const FEW_DAEMONS: u32 = 8;

/// Turns in a cycle for each daemon if there are more. With 59 daemons that always have a request, a
/// cold upstream gets more than it tolerates in about 1 of 900 seconds with one turn each, and in 1 of
/// 1,000,000 with two.
const TURNS_PER_DAEMON: u64 = 2;

/// The share of this daemon in the requests that cold upstreams tolerate.
///
/// The warm-up of an upstream is divided into turns of the interval that it tolerates between two
/// requests, counted back from its end. Daemons know that end from the row of the upstream, so that
/// they need neither a common clock nor messages. A hash chooses the turn of each daemon, anew for
/// each start of an upstream, so that no daemons collide at all of them.
#[derive(Clone, Copy, Debug)]
pub(super) struct Turns {
    /// A number that differs between daemons.
    pub(super) seed: u64,
    pub(super) daemons: u32,
}

impl Turns {
    /// Returns whether this daemon may send a request to a cold upstream now. `last_sent` is when it
    /// last sent one.
    pub(super) fn may_send(
        self,
        now: TimeMs,
        upstream: &DiscoveredUpstream,
        warmup: WarmupTerms,
        last_sent: Option<TimeMs>,
    ) -> bool {
        let interval_us = warmup.interval_us.max(1);
        let cycle = self.cycle();
        let left_us = to_us(upstream.warmup_ends_at.since(now));
        let is_turn = (left_us / interval_us) % cycle == self.position(upstream) % cycle;
        // The end of the warm-up moves a little when the row is read again, and the turns with it.
        let gap_us = interval_us.saturating_mul((cycle - 1).max(1));
        is_turn && last_sent.is_none_or(|at| to_us(now.since(at)) >= gap_us)
    }

    /// Returns the number of turns until a daemon has its next one.
    fn cycle(self) -> u64 {
        let daemons = u64::from(self.daemons.max(1));
        if self.daemons <= FEW_DAEMONS {
            daemons
        } else {
            daemons * TURNS_PER_DAEMON
        }
    }

    fn position(self, upstream: &DiscoveredUpstream) -> u64 {
        let entry = &upstream.entry;
        let name = KeyHash::of(entry.name.as_str()).0;
        let parts = [self.seed, name, entry.born.0].map(u64::to_le_bytes);
        KeyHash::of(parts.as_flattened()).0
    }
}

const fn to_us(ms: u64) -> u64 {
    ms.saturating_mul(1_000)
}

//! What upstreams announce about themselves in their answers.

use super::UpstreamNotice;
use crate::directory::{DiscoveredUpstream, Upstreams};
use balsam_types::{Map, StartTime, TimeMs, UpstreamName, new_map};

/// How long announcements are kept of an upstream that is not listed, in milliseconds. Its entry may
/// vanish in an outage of the store and come back.
const UNLISTED_KEPT_MS: u64 = 600_000;

/// Maximum number of lives of upstreams whose announcements are kept. Beyond it, those that were
/// heard longest ago are dropped.
const LIVES_MAX: usize = 4_096;

/// One life of an upstream.
type Life = (UpstreamName, StartTime);

/// What one life of an upstream has announced.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    leaving_since: Option<TimeMs>,
    paused_until: TimeMs,
    heard_at: TimeMs,
}

/// Whether requests may be sent to an upstream, as far as it has announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// It has announced nothing that is still in force.
    Open,
    /// It leaves, and takes requests for a while that no other upstream can run.
    Leaving,
    /// It wants no requests before this time.
    Paused { until: TimeMs },
    /// It leaves and takes no more requests.
    Left,
}

/// The announcements of all upstreams.
///
/// They are the freshest source there is: they hold whatever the store's rows say, until the life of
/// the upstream that made them has ended.
#[derive(Debug)]
pub(super) struct Notices {
    announcements: Map<Life, Announcement>,
    /// How long a leaving upstream still takes requests, in milliseconds.
    drain_ms: u64,
}

impl Notices {
    /// Creates a collection without announcements.
    pub(super) fn new(drain_ms: u64) -> Self {
        Self {
            announcements: new_map(),
            drain_ms,
        }
    }

    /// Records what an upstream has announced. Returns whether it wants fewer requests than before.
    ///
    /// A later pause replaces an earlier one only if it ends later. It lasts `resume_delay_ms` longer
    /// than the upstream asked.
    pub(super) fn record(
        &mut self,
        now: TimeMs,
        upstream: &DiscoveredUpstream,
        notice: UpstreamNotice,
        resume_delay_ms: u64,
    ) -> bool {
        let UpstreamNotice {
            is_leaving,
            pause_ms,
        } = notice;
        if !is_leaving && pause_ms.is_none() {
            return false;
        }
        self.make_room();
        let entry = &upstream.entry;
        let life = (entry.name.clone(), entry.born);
        let known = self.announcements.entry(life).or_insert(Announcement {
            leaving_since: None,
            paused_until: TimeMs(0),
            heard_at: now,
        });
        known.heard_at = now;
        let is_news = is_leaving && known.leaving_since.is_none();
        if is_news {
            known.leaving_since = Some(now);
        }
        let pause_ms = pause_ms.map(|pause_ms| pause_ms.saturating_add(resume_delay_ms));
        let paused_until = TimeMs(now.0.saturating_add(pause_ms.unwrap_or(0)));
        let is_longer = paused_until > known.paused_until && pause_ms.is_some();
        if is_longer {
            known.paused_until = paused_until;
        }
        is_news || is_longer
    }

    /// Returns whether requests may be sent to an upstream.
    pub(super) fn standing(&self, now: TimeMs, upstream: &DiscoveredUpstream) -> Standing {
        if self.announcements.is_empty() {
            return Standing::Open;
        }
        let entry = &upstream.entry;
        let Some(known) = self.announcements.get(&(entry.name.clone(), entry.born)) else {
            return Standing::Open;
        };
        match known.leaving_since {
            Some(since) if now.since(since) >= self.drain_ms => Standing::Left,
            _ if now < known.paused_until => Standing::Paused {
                until: known.paused_until,
            },
            Some(_) => Standing::Leaving,
            None => Standing::Open,
        }
    }

    /// Returns how many upstreams have announced that they leave, and how many pause.
    pub(super) fn counts(&self, now: TimeMs) -> (usize, usize) {
        let known = self.announcements.values();
        let leaving = known.clone().filter(|known| known.leaving_since.is_some());
        let paused = known.filter(|known| now < known.paused_until);
        (leaving.count(), paused.count())
    }

    /// Drops the announcements of lives that have ended, or that were not listed for long.
    pub(super) fn retain(&mut self, now: TimeMs, upstreams: &Upstreams) {
        self.announcements.retain(|(name, born), known| {
            let listed = upstreams.get(name).map(|found| found.entry.born);
            match listed {
                Some(listed) if listed > *born => false,
                Some(listed) if listed == *born => {
                    known.leaving_since.is_some() || now < known.paused_until
                }
                _ => now.since(known.heard_at) <= UNLISTED_KEPT_MS,
            }
        });
    }

    fn make_room(&mut self) {
        if self.announcements.len() < LIVES_MAX {
            return;
        }
        let heard = self.announcements.iter();
        let oldest = heard.min_by_key(|(_, known)| known.heard_at);
        if let Some(oldest) = oldest.map(|(life, _)| life.clone()) {
            self.announcements.remove(&oldest);
        }
    }
}

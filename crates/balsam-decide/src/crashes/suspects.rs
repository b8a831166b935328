//! Counts the upstreams that each request has crashed.

use super::SuspectList;
use balsam_types::{Fingerprint, Map, StartTime, TimeMs, UpstreamName, new_map};
use serde::{Deserialize, Serialize};

/// The number of crashed upstreams from which on a request is refused.
///
/// With many requests in flight, a request often loses one or two upstreams by chance. The platform
/// allows three more attempts after the third crash, which leaves daemons time to learn of it.
const REFUSAL_THRESHOLD: usize = 3;

/// The number of crashed upstreams from which on the leader announces a suspect to all daemons.
///
/// After a single crash this is not worthwhile, because most requests that lose one upstream are
/// served by the next one.
const ANNOUNCE_THRESHOLD: usize = 2;

/// How long a request is refused, in milliseconds. Callers keep retrying a request for a long time.
const REFUSAL_TTL_MS: u64 = 600_000;

/// How long a request is suspected after its last crash, in milliseconds.
const SUSPICION_TTL_MS: u64 = 120_000;

/// How long refusals of other daemons are ignored after an upstream has served the request, in
/// milliseconds. By then, all daemons that can be reached know that it was served.
const CLEARED_TTL_MS: u64 = 10_000;

/// The greatest number of suspects. Beyond it, the suspect with the oldest last crash is dropped;
/// refused ones are dropped only if there are no others.
const SUSPECTS_MAX: usize = 1_024;

/// How much later than the end of the connection a crash may be recorded, in milliseconds. The
/// control task of a busy daemon may take this long to get to its messages.
const RECORD_DELAY_MS: u64 = 50;

/// The end of an upstream's connection while the upstream processed a request, before any byte of a
/// response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The upstream.
    pub upstream: CrashedUpstream,
    /// The time from sending the request to the end of the connection, in milliseconds.
    pub took_ms: u64,
    /// How long ago the connection ended when the crash was reported, in milliseconds.
    pub ended_ago_ms: u64,
}

/// The incarnation of an upstream that crashed while processing a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedUpstream {
    /// The upstream.
    pub name: UpstreamName,
    /// When this incarnation started.
    pub born: StartTime,
}

/// Whether a crash is counted against its request, or why it is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashCount {
    /// The crash is counted.
    Counted,
    /// The request was sent before the first crash that was counted against it, so that a single
    /// incident may have ended both upstreams.
    SentBefore,
    /// A crash of this incarnation of the upstream was counted before.
    SameUpstream,
}

impl CrashCount {
    /// Returns the text used in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Counted => "counted",
            Self::SentBefore => "sent-before",
            Self::SameUpstream => "same-upstream",
        }
    }
}

/// A refused request, as daemons exchange it and as the row in the store lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How much longer it is refused, in milliseconds.
    pub left_ms: u64,
}

#[derive(Debug)]
struct Suspect {
    crashed: Vec<CrashedUpstream>,
    first_crash_at: TimeMs,
    last_crash_at: TimeMs,
    /// Until when the request is refused, if it is refused.
    refused_until: Option<TimeMs>,
}

impl Suspect {
    const fn new(at: TimeMs) -> Self {
        Self {
            crashed: Vec::new(),
            first_crash_at: at,
            last_crash_at: at,
            refused_until: None,
        }
    }

    fn expires_at(&self) -> TimeMs {
        self.refused_until
            .unwrap_or_else(|| self.last_crash_at.after(SUSPICION_TTL_MS))
    }
}

/// The requests that this daemon suspects.
#[derive(Debug)]
pub struct Suspects {
    suspects: Map<Fingerprint, Suspect>,
    /// Requests that an upstream has served although they were suspected, with the time of that.
    cleared: Map<Fingerprint, TimeMs>,
}

impl Suspects {
    /// Creates a counter without suspects.
    pub fn new() -> Self {
        Self {
            suspects: new_map(),
            cleared: new_map(),
        }
    }

    /// Records a crash that this daemon or another one has observed.
    ///
    /// Copies of the request that were sent before its first crash may have been lost in the same
    /// incident, so they are no evidence against the request. Each copy that was sent later counts,
    /// even if several are in flight at once. An incarnation of an upstream counts only once,
    /// because an upstream that still runs may reset connections when its queue is full.
    pub fn crashed(&mut self, now: TimeMs, crash: &Crash) -> CrashCount {
        let ended_at = now.before(crash.ended_ago_ms);
        if let Some(known) = self.suspects.get(&crash.fingerprint) {
            if known.crashed.contains(&crash.upstream) {
                return CrashCount::SameUpstream;
            }
            if ended_at.since(known.first_crash_at) + RECORD_DELAY_MS < crash.took_ms {
                return CrashCount::SentBefore;
            }
        }
        self.add(ended_at, crash.fingerprint, vec![crash.upstream.clone()]);
        CrashCount::Counted
    }

    /// Returns how many upstreams a request has crashed.
    pub fn crashes(&self, fingerprint: Fingerprint) -> usize {
        self.suspects
            .get(&fingerprint)
            .map_or(0, |suspect| suspect.crashed.len())
    }

    /// Returns how many requests are suspected, whether or not they are refused.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Adds the crashes of a request that the leader has announced.
    pub fn add_announced(
        &mut self,
        now: TimeMs,
        fingerprint: Fingerprint,
        crashed: Vec<CrashedUpstream>,
    ) {
        self.add(now, fingerprint, crashed);
    }

    /// Refuses a request that another daemon or the row in the store refuses.
    ///
    /// Returns whether it was not refused before.
    pub fn refuse(&mut self, now: TimeMs, refused: Refused) -> bool {
        let Refused {
            fingerprint,
            left_ms,
        } = refused;
        if left_ms == 0 || self.was_cleared(now, fingerprint) {
            return false;
        }
        self.make_room(fingerprint);
        let suspect = self.suspects.entry(fingerprint);
        let suspect = suspect.or_insert_with(|| Suspect::new(now));
        let is_new = suspect.refused_until.is_none();
        let until = now.after(left_ms.min(REFUSAL_TTL_MS));
        suspect.refused_until.get_or_insert(until);
        is_new
    }

    /// Records that an upstream has served a request, which is then no longer suspected.
    ///
    /// Returns whether it was suspected.
    pub fn served(&mut self, now: TimeMs, fingerprint: Fingerprint) -> bool {
        let was_suspected = self.suspects.remove(&fingerprint).is_some();
        if was_suspected && self.cleared.len() < SUSPECTS_MAX {
            self.cleared.insert(fingerprint, now);
        }
        was_suspected
    }

    /// Returns whether an upstream has served a suspected request so recently that other daemons
    /// may not know it yet.
    pub fn was_cleared(&self, now: TimeMs, fingerprint: Fingerprint) -> bool {
        let at = self.cleared.get(&fingerprint);
        at.is_some_and(|at| now.since(*at) < CLEARED_TTL_MS)
    }

    /// Returns the requests that were served recently although they were suspected.
    pub fn cleared(&self, now: TimeMs) -> impl Iterator<Item = Fingerprint> {
        let cleared = self.cleared.keys().copied();
        cleared.filter(move |fingerprint| self.was_cleared(now, *fingerprint))
    }

    /// Returns the refused requests.
    pub fn refused(&self, now: TimeMs) -> Vec<Refused> {
        let refused = self.suspects.iter().filter_map(|(fingerprint, suspect)| {
            Some(Refused {
                fingerprint: *fingerprint,
                left_ms: suspect.refused_until?.since(now),
            })
        });
        refused.collect()
    }

    /// Returns a digest of the refused requests.
    ///
    /// It is 0 if there are none, and equal on daemons that refuse the same requests.
    pub fn digest(&self) -> u64 {
        let refused = self.suspects.iter();
        let refused = refused.filter(|(_, suspect)| suspect.refused_until.is_some());
        refused.fold(0, |digest, (fingerprint, _)| digest ^ fingerprint.0)
    }

    /// Returns the crashes of a request, if there are enough of them to announce to all daemons.
    pub fn crashes_to_announce(&self, fingerprint: Fingerprint) -> Option<&[CrashedUpstream]> {
        let crashed = self.suspects.get(&fingerprint)?.crashed.as_slice();
        (crashed.len() >= ANNOUNCE_THRESHOLD).then_some(crashed)
    }

    /// Returns until when a request is refused, or `None` if it is not refused.
    pub fn refused_until(&self, fingerprint: Fingerprint) -> Option<TimeMs> {
        self.suspects.get(&fingerprint)?.refused_until
    }

    /// Removes the suspects that have expired, and returns whether there were any.
    pub fn expire(&mut self, now: TimeMs) -> bool {
        let before = self.suspects.len();
        self.suspects
            .retain(|_, suspect| now < suspect.expires_at());
        self.cleared.retain(|_, at| now.since(*at) < CLEARED_TTL_MS);
        self.suspects.len() < before
    }

    /// Returns the list to publish.
    pub fn list(&self) -> SuspectList {
        let suspects = self.suspects.iter();
        SuspectList::new(
            suspects.map(|(fingerprint, suspect)| (*fingerprint, suspect.refused_until)),
        )
    }

    fn add(&mut self, at: TimeMs, fingerprint: Fingerprint, crashed: Vec<CrashedUpstream>) {
        self.make_room(fingerprint);
        let suspect = self.suspects.entry(fingerprint);
        let suspect = suspect.or_insert_with(|| Suspect::new(at));
        for crashed in crashed {
            if !suspect.crashed.contains(&crashed) {
                suspect.crashed.push(crashed);
                suspect.last_crash_at = suspect.last_crash_at.max(at);
            }
        }
        if suspect.crashed.len() >= REFUSAL_THRESHOLD {
            suspect.refused_until = Some(suspect.last_crash_at.after(REFUSAL_TTL_MS));
        }
    }

    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.suspects.len() < SUSPECTS_MAX || self.suspects.contains_key(&fingerprint) {
            return;
        }
        let eviction_order = |(fingerprint, suspect): &(&Fingerprint, &Suspect)| {
            let is_refused = suspect.refused_until.is_some();
            (is_refused, suspect.last_crash_at, **fingerprint)
        };
        let evicted = self.suspects.iter().min_by_key(eviction_order);
        if let Some(evicted) = evicted.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&evicted);
        }
    }
}

impl Default for Suspects {
    fn default() -> Self {
        Self::new()
    }
}

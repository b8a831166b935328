//! Counts the upstreams that a request crashed.

use super::SuspectList;
use balsam_types::{Fingerprint, Map, StartTime, TimeMs, UpstreamName, new_map};
use serde::{Deserialize, Serialize};

/// Upstreams that a request may crash before it is refused.
///
/// One or two are often lost by chance with many requests in flight. The platform allows three
/// repeats after the third crash, which daemons need until they know of it.
const CRASHES_MAX: usize = 3;

/// Crashes from which on all daemons are told of a suspect; most requests that lose one upstream
/// are served by the next.
const SHARED_FROM: usize = 2;

/// How long a request is refused, in milliseconds; callers repeat it for long.
const REFUSED_MS: u64 = 600_000;

/// How long a request is suspected after its last crash, in milliseconds.
const SUSPECTED_MS: u64 = 120_000;

/// How long a served request is not suspected because another daemon says so, in milliseconds; by
/// then all daemons that are in touch know.
const CLEARED_MS: u64 = 10_000;

/// Suspects at once; one that is not refused makes room, and of these the one whose last crash is
/// oldest.
const SUSPECTS_MAX: usize = 1_024;

/// How much later than its end a crash may be noted, in milliseconds; the control task of a busy
/// daemon looks at messages as often as that.
const TOLD_LATE_MS: u64 = 50;

/// The end of an upstream's connection under a request, before any byte of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The upstream.
    pub upstream: CrashedUpstream,
    /// The time from sending the request to the end of the connection, in milliseconds.
    pub took_ms: u64,
    /// How long ago the connection ended when this was told, in milliseconds.
    pub ended_ago_ms: u64,
}

/// The life of an upstream that did not survive a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedUpstream {
    /// The upstream.
    pub name: UpstreamName,
    /// Its life.
    pub born: StartTime,
}

/// Whether a crash counts against its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashCount {
    /// It does.
    Counted,
    /// The request was sent before its first crash, so that one incident may have ended both.
    SentBefore,
    /// This life of the upstream was counted before.
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

/// A request that is refused, as daemons tell each other.
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
    first_at: TimeMs,
    last_at: TimeMs,
    /// Until when it is refused, if it is.
    refused_until: Option<TimeMs>,
}

impl Suspect {
    const fn new(at: TimeMs) -> Self {
        Self {
            crashed: Vec::new(),
            first_at: at,
            last_at: at,
            refused_until: None,
        }
    }

    fn lapses_at(&self) -> TimeMs {
        self.refused_until
            .unwrap_or_else(|| self.last_at.after(SUSPECTED_MS))
    }
}

/// The requests that this daemon suspects.
#[derive(Debug)]
pub struct Suspects {
    suspects: Map<Fingerprint, Suspect>,
    /// Requests that an upstream has served although they were suspected, and when.
    cleared: Map<Fingerprint, TimeMs>,
}

impl Suspects {
    /// Makes a machine without suspects.
    pub fn new() -> Self {
        Self {
            suspects: new_map(),
            cleared: new_map(),
        }
    }

    /// Notes a crash that this daemon or another one saw.
    ///
    /// Copies that were sent before the first crash may have been lost by the same incident, which
    /// says nothing of the request; each one sent later counts, however many are in flight together.
    /// An upstream counts once: a reset by one that still lives may come from a full queue.
    pub fn crashed(&mut self, now: TimeMs, crash: &Crash) -> CrashCount {
        let ended_at = now.before(crash.ended_ago_ms);
        if let Some(known) = self.suspects.get(&crash.fingerprint) {
            if known.crashed.contains(&crash.upstream) {
                return CrashCount::SameUpstream;
            }
            if ended_at.since(known.first_at) + TOLD_LATE_MS < crash.took_ms {
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

    /// Returns how many requests are suspected, refused or not.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Takes over the crashes of a request that the leader tells.
    pub fn told(&mut self, now: TimeMs, fingerprint: Fingerprint, crashed: Vec<CrashedUpstream>) {
        self.add(now, fingerprint, crashed);
    }

    /// Takes over that another daemon refuses a request; returns whether that is new.
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
        let until = now.after(left_ms.min(REFUSED_MS));
        suspect.refused_until.get_or_insert(until);
        is_new
    }

    /// Notes that an upstream served a request; returns whether it was suspected.
    pub fn served(&mut self, now: TimeMs, fingerprint: Fingerprint) -> bool {
        let was_suspected = self.suspects.remove(&fingerprint).is_some();
        if was_suspected && self.cleared.len() < SUSPECTS_MAX {
            self.cleared.insert(fingerprint, now);
        }
        was_suspected
    }

    /// Returns whether an upstream has served a suspected request a moment ago, which other daemons
    /// may not know yet.
    pub fn was_cleared(&self, now: TimeMs, fingerprint: Fingerprint) -> bool {
        let at = self.cleared.get(&fingerprint);
        at.is_some_and(|at| now.since(*at) < CLEARED_MS)
    }

    /// Returns the requests that were served a moment ago although they were suspected.
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

    /// Returns a digest of the refused requests; it is 0 if there are none, and daemons that refuse
    /// the same requests have the same.
    pub fn digest(&self) -> u64 {
        let refused = self.suspects.iter();
        let refused = refused.filter(|(_, suspect)| suspect.refused_until.is_some());
        refused.fold(0, |digest, (fingerprint, _)| digest ^ fingerprint.0)
    }

    /// Returns the crashes of a request, if all daemons should know them.
    pub fn to_share(&self, fingerprint: Fingerprint) -> Option<&[CrashedUpstream]> {
        let crashed = self.suspects.get(&fingerprint)?.crashed.as_slice();
        (crashed.len() >= SHARED_FROM).then_some(crashed)
    }

    /// Returns until when a request is refused, if it is.
    pub fn refused_until(&self, fingerprint: Fingerprint) -> Option<TimeMs> {
        self.suspects.get(&fingerprint)?.refused_until
    }

    /// Forgets suspects whose time is over; returns whether there were any.
    pub fn expire(&mut self, now: TimeMs) -> bool {
        let before = self.suspects.len();
        self.suspects.retain(|_, suspect| now < suspect.lapses_at());
        self.cleared.retain(|_, at| now.since(*at) < CLEARED_MS);
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
                suspect.last_at = suspect.last_at.max(at);
            }
        }
        if suspect.crashed.len() >= CRASHES_MAX {
            suspect.refused_until = Some(suspect.last_at.after(REFUSED_MS));
        }
    }

    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.suspects.len() < SUSPECTS_MAX || self.suspects.contains_key(&fingerprint) {
            return;
        }
        let order = |(fingerprint, suspect): &(&Fingerprint, &Suspect)| {
            let is_refused = suspect.refused_until.is_some();
            (is_refused, suspect.last_at, **fingerprint)
        };
        let least = self.suspects.iter().min_by_key(order);
        if let Some(least) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&least);
        }
    }
}

impl Default for Suspects {
    fn default() -> Self {
        Self::new()
    }
}

//! Counts the upstreams that a request crashed.

use super::SuspectList;
use balsam_types::{Born, Fingerprint, Map, TimeMs, UpstreamName, new_map};
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
    pub upstream: Crashed,
    /// The time from sending the request to the end of the connection, in milliseconds.
    pub took_ms: u64,
    /// How long ago the connection ended when this was told, in milliseconds.
    pub ended_ago_ms: u64,
}

/// The life of an upstream that did not survive a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashed {
    /// The upstream.
    pub name: UpstreamName,
    /// Its life.
    pub born: Born,
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

#[derive(Debug)]
struct Suspect {
    crashed: Vec<Crashed>,
    first_at: TimeMs,
    last_at: TimeMs,
}

impl Suspect {
    fn lapses_at(&self) -> TimeMs {
        self.refused_until()
            .unwrap_or_else(|| self.last_at.after(SUSPECTED_MS))
    }

    fn refused_until(&self) -> Option<TimeMs> {
        (self.crashed.len() >= CRASHES_MAX).then(|| self.last_at.after(REFUSED_MS))
    }
}

/// The requests that this daemon suspects.
#[derive(Debug)]
pub struct Suspects(Map<Fingerprint, Suspect>);

impl Suspects {
    /// Makes a machine without suspects.
    pub fn new() -> Self {
        Self(new_map())
    }

    /// Notes a crash that this daemon or another one saw.
    ///
    /// Copies that were sent before the first crash may have been lost by the same incident, which
    /// says nothing of the request; each one sent later counts, however many are in flight together.
    /// An upstream counts once: a reset by one that still lives may come from a full queue.
    pub fn crashed(&mut self, now: TimeMs, crash: &Crash) -> CrashCount {
        let ended_at = now.before(crash.ended_ago_ms);
        if let Some(known) = self.0.get(&crash.fingerprint) {
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
        self.0
            .get(&fingerprint)
            .map_or(0, |suspect| suspect.crashed.len())
    }

    /// Returns how many requests are suspected, refused or not.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Takes over the crashes of a request that the leader tells.
    pub fn told(&mut self, now: TimeMs, fingerprint: Fingerprint, crashed: Vec<Crashed>) {
        self.add(now, fingerprint, crashed);
    }

    /// Notes that an upstream served a request; returns whether it was suspected.
    pub fn served(&mut self, fingerprint: Fingerprint) -> bool {
        self.0.remove(&fingerprint).is_some()
    }

    /// Returns the crashes of a request, if all daemons should know them.
    pub fn to_share(&self, fingerprint: Fingerprint) -> Option<&[Crashed]> {
        let crashed = self.0.get(&fingerprint)?.crashed.as_slice();
        (crashed.len() >= SHARED_FROM).then_some(crashed)
    }

    /// Returns until when a request is refused, if it is.
    pub fn refused_until(&self, fingerprint: Fingerprint) -> Option<TimeMs> {
        self.0.get(&fingerprint)?.refused_until()
    }

    /// Forgets suspects whose time is over; returns whether there were any.
    pub fn expire(&mut self, now: TimeMs) -> bool {
        let before = self.0.len();
        self.0.retain(|_, suspect| now < suspect.lapses_at());
        self.0.len() < before
    }

    /// Returns the list to publish.
    pub fn list(&self) -> SuspectList {
        let suspects = self.0.iter();
        SuspectList::new(
            suspects.map(|(fingerprint, suspect)| (*fingerprint, suspect.refused_until())),
        )
    }

    fn add(&mut self, at: TimeMs, fingerprint: Fingerprint, crashed: Vec<Crashed>) {
        self.make_room(fingerprint);
        let suspect = self.0.entry(fingerprint).or_insert_with(|| Suspect {
            crashed: Vec::new(),
            first_at: at,
            last_at: at,
        });
        for crashed in crashed {
            if !suspect.crashed.contains(&crashed) {
                suspect.crashed.push(crashed);
                suspect.last_at = suspect.last_at.max(at);
            }
        }
    }

    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.0.len() < SUSPECTS_MAX || self.0.contains_key(&fingerprint) {
            return;
        }
        let order = |(fingerprint, suspect): &(&Fingerprint, &Suspect)| {
            let is_refused = suspect.refused_until().is_some();
            (is_refused, suspect.last_at, **fingerprint)
        };
        let least = self.0.iter().min_by_key(order);
        if let Some(least) = least.map(|(fingerprint, _)| *fingerprint) {
            self.0.remove(&least);
        }
    }
}

impl Default for Suspects {
    fn default() -> Self {
        Self::new()
    }
}

//! The published list of suspected requests.

use balsam_types::{Fingerprint, Map, TimeMs, new_map};

/// The requests that are suspected at one moment, each with the time until which it is refused, if
/// it is refused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectList(Map<Fingerprint, Option<TimeMs>>);

impl SuspectList {
    /// Creates a list.
    pub fn new(suspects: impl IntoIterator<Item = (Fingerprint, Option<TimeMs>)>) -> Self {
        let mut list = new_map();
        list.extend(suspects);
        Self(list)
    }

    /// Returns whether no request is suspected, so that fingerprints need not be computed.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether a request is suspected, whether or not it is refused.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.0.contains_key(&fingerprint)
    }

    /// Returns how many requests are refused.
    pub fn refused(&self) -> usize {
        self.0.values().flatten().count()
    }

    /// Returns until when a request is refused, or `None` if it is not refused.
    pub fn refused_until(&self, now: TimeMs, fingerprint: Fingerprint) -> Option<TimeMs> {
        let until = self.0.get(&fingerprint).copied().flatten();
        until.filter(|until| now < *until)
    }
}

//! The published list of suspects.

use balsam_types::{Fingerprint, Map, TimeMs, new_map};

/// Suspected requests of one moment, and until when they are refused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectList(Map<Fingerprint, Option<TimeMs>>);

impl SuspectList {
    /// Arranges a list.
    pub fn new(suspects: impl IntoIterator<Item = (Fingerprint, Option<TimeMs>)>) -> Self {
        let mut list = new_map();
        list.extend(suspects);
        Self(list)
    }

    /// Returns whether no request is suspected, so that fingerprints need not be computed.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether a request is suspected, refused or not.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.0.contains_key(&fingerprint)
    }

    /// Returns how many requests are refused.
    pub fn refused(&self) -> usize {
        self.0.values().flatten().count()
    }

    /// Returns until when a request is refused, if it is.
    pub fn refused_until(&self, now: TimeMs, fingerprint: Fingerprint) -> Option<TimeMs> {
        let until = self.0.get(&fingerprint).copied().flatten();
        until.filter(|until| now < *until)
    }
}

//! Versions that were announced and have not arrived yet.

use balsam_types::{Map, TimeMs, new_map};
use std::hash::Hash;

/// An announced version.
#[derive(Clone, Copy, Debug)]
struct Announced {
    version: u64,
    since: TimeMs,
}

/// The newest announced versions that this daemon lacks, by what they are versions of.
///
/// Announcements may arrive out of order, so an older one does not mean that a version has arrived.
#[derive(Debug)]
pub struct MissingVersions<T>(Map<T, Announced>);

impl<T: Clone + Eq + Hash> MissingVersions<T> {
    /// Creates a collection in which nothing is missing.
    pub fn new() -> Self {
        Self(new_map())
    }

    /// Records the versions that exist, of which `known` returns the ones that this daemon has.
    pub fn announce(
        &mut self,
        now: TimeMs,
        versions: &[(T, u64)],
        known: impl Fn(&T) -> Option<u64>,
    ) {
        self.0
            .retain(|topic, _| versions.iter().any(|(announced, _)| announced == topic));
        for (topic, version) in versions {
            let announced = self.0.entry(topic.clone()).or_insert(Announced {
                version: *version,
                since: now,
            });
            announced.version = announced.version.max(*version);
        }
        self.0.retain(|topic, announced| {
            known(topic).is_none_or(|version| version < announced.version)
        });
    }

    /// Returns what is missing, and since when.
    pub fn iter(&self) -> impl Iterator<Item = (&T, TimeMs)> {
        self.0
            .iter()
            .map(|(topic, announced)| (topic, announced.since))
    }
}

impl<T: Clone + Eq + Hash> Default for MissingVersions<T> {
    fn default() -> Self {
        Self::new()
    }
}

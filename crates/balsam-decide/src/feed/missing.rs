//! Versions that were announced and have not arrived yet.

use balsam_types::{Map, TimeMs, new_map};
use std::hash::Hash;

/// Upper limit on the announced versions of one topic that are remembered apart.
const ANNOUNCED_MAX: usize = 16;

/// An announced version.
#[derive(Clone, Copy, Debug)]
struct Announced {
    version: u64,
    since: TimeMs,
}

/// The announced versions that this daemon lacks, by what they are versions of, oldest first.
///
/// Announcements may arrive out of order, so an older one does not mean that a version has arrived.
/// Each version is missing since its own announcement: when changes follow each other fast, a newer
/// one is announced before the last has arrived.
#[derive(Debug)]
pub struct MissingVersions<T>(Map<T, Vec<Announced>>);

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
            .retain(|topic, _| versions.iter().any(|(named, _)| named == topic));
        for (topic, version) in versions {
            let known_version = known(topic);
            let is_missing = |version| known_version.is_none_or(|known| known < version);
            let missing = self.0.entry(topic.clone()).or_default();
            missing.retain(|announced| is_missing(announced.version));
            let missing_count = missing.len();
            let is_newest = missing.last().is_none_or(|last| last.version < *version);
            if !is_missing(*version) || !is_newest {
                continue;
            }
            if let [.., last] = missing.as_mut_slice()
                && missing_count >= ANNOUNCED_MAX
            {
                last.version = *version;
            } else {
                missing.push(Announced {
                    version: *version,
                    since: now,
                });
            }
        }
        self.0.retain(|_, missing| !missing.is_empty());
    }

    /// Returns what is missing beside the versions that `known` returns, and since when.
    pub fn iter(&self, known: impl Fn(&T) -> Option<u64>) -> impl Iterator<Item = (&T, TimeMs)> {
        self.0.iter().filter_map(move |(topic, missing)| {
            let known_version = known(topic);
            let is_missing = |announced: &&Announced| {
                known_version.is_none_or(|known| known < announced.version)
            };
            let oldest = missing.iter().find(is_missing)?;
            Some((topic, oldest.since))
        })
    }
}

impl<T: Clone + Eq + Hash> Default for MissingVersions<T> {
    fn default() -> Self {
        Self::new()
    }
}

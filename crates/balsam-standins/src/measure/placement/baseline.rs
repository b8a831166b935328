//! Placements that the planner is compared with.

use balsam_types::{KeyHash, UpstreamName};

/// A placement computed from the list of active upstreams alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Baseline {
    /// The key's hash modulo the number of active upstreams.
    Modulo,
    /// The active upstream with the greatest hash of its name and the key.
    Rendezvous,
}

impl Baseline {
    /// Returns the owner of `key` among the upstreams with the indexes `active`.
    pub(super) fn owner(
        self,
        key: KeyHash,
        active: &[usize],
        names: &[&UpstreamName],
    ) -> Option<usize> {
        match self {
            Self::Modulo => active
                .get((key.0 % active.len().max(1) as u64) as usize)
                .copied(),
            Self::Rendezvous => active
                .iter()
                .copied()
                .max_by_key(|at| weight(key, names[*at])),
        }
    }
}

fn weight(key: KeyHash, name: &UpstreamName) -> u64 {
    let mut bytes = key.0.to_le_bytes().to_vec();
    bytes.extend_from_slice(name.as_str().as_bytes());
    KeyHash::of(bytes).0
}

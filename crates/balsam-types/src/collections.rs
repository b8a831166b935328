//! Hash collections with a fast hasher.

/// A hash map with a fast, non-cryptographic hasher that is seeded once per process.
#[expect(
    clippy::disallowed_types,
    reason = "this alias is the only place that names the standard map"
)]
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// A hash set with a fast, non-cryptographic hasher that is seeded once per process.
#[expect(
    clippy::disallowed_types,
    reason = "this alias is the only place that names the standard set"
)]
pub type Set<T> = std::collections::HashSet<T, foldhash::fast::RandomState>;

/// Returns an empty [`Map`].
pub fn new_map<K, V>() -> Map<K, V> {
    Map::default()
}

/// Returns an empty [`Set`].
pub fn new_set<T>() -> Set<T> {
    Set::default()
}

//! Serializes a map as a list of pairs, for keys that are no texts.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use std::collections::BTreeMap;

/// Writes the map as a list of pairs.
///
/// # Errors
///
/// Passes on the serializer's error.
pub fn serialize<K: Serialize, V: Serialize, S: Serializer>(
    map: &BTreeMap<K, V>,
    to: S,
) -> Result<S::Ok, S::Error> {
    to.collect_seq(map)
}

/// Reads the map from a list of pairs.
///
/// # Errors
///
/// Passes on the deserializer's error.
pub fn deserialize<'de, K, V, D>(from: D) -> Result<BTreeMap<K, V>, D::Error>
where
    K: Deserialize<'de> + Ord,
    V: Deserialize<'de>,
    D: Deserializer<'de>,
{
    let pairs = Vec::<(K, V)>::deserialize(from)?;
    Ok(pairs.into_iter().collect())
}

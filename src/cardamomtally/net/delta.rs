//! Difference of two configurations, as replies to polls carry it.
//!
//! Both configurations are converted to CBOR trees and compared map by map.
//! The patch for a ticket that changes one field of one object then takes a few
//! dozen bytes, whatever the type of the object. Lists are replaced as a whole.
//! The receiver verifies the digest of the result, so the result of a patch that
//! was made for another base is never used.

use crate::{core::config::Config, net::codec};
use ciborium::Value;
use eyre::WrapErr as _;
use serde::{Deserialize, Serialize};

/// A change that turns one CBOR value into another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum Patch {
    /// Replaces the value.
    #[serde(rename = "s")]
    Set(Value),
    /// Changes entries of a map.
    #[serde(rename = "m")]
    Map(MapPatch),
}

/// Entries to add, change and remove in a map.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct MapPatch {
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    changed: Vec<(Value, Patch)>,
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    removed: Vec<Value>,
}

/// Returns the patch that turns `from` into `to`.
///
/// # Errors
///
/// Returns an error if a configuration cannot be encoded.
pub fn diff(from: &Config, to: &Config) -> eyre::Result<Vec<u8>> {
    let from = to_cbor(from)?;
    let to = to_cbor(to)?;
    let patch = diff_values(&from, &to).unwrap_or_else(|| Patch::Map(MapPatch::default()));
    Ok(codec::encode(&patch))
}

/// Applies a patch to the configuration `from`. The caller must verify the
/// digest of the result.
///
/// # Errors
///
/// Returns an error if the patch does not decode, changes a map where `from` has
/// another kind of value, or gives a result that is not a configuration.
pub fn apply(from: &Config, patch: &[u8]) -> eyre::Result<Config> {
    let patch: Patch = codec::decode(patch)?;
    let mut node = to_cbor(from)?;
    patch_value(&mut node, patch)?;
    node.deserialized()
        .wrap_err("failed to decode a patched configuration")
}

fn to_cbor(config: &Config) -> eyre::Result<Value> {
    Value::serialized(config).wrap_err("failed to encode a configuration")
}

fn diff_values(from: &Value, to: &Value) -> Option<Patch> {
    if from == to {
        return None;
    }
    let (Value::Map(from), Value::Map(to)) = (from, to) else {
        return Some(Patch::Set(to.clone()));
    };
    let find = |map: &[(Value, Value)], key: &Value| {
        map.iter()
            .find(|(k, _)| k == key)
            .map(|(_, value)| value.clone())
    };
    let mut patch = MapPatch::default();
    for (key, value) in to {
        let change = match find(from, key) {
            Some(old) => diff_values(&old, value),
            None => Some(Patch::Set(value.clone())),
        };
        patch.changed.extend(change.map(|c| (key.clone(), c)));
    }
    let gone = from.iter().filter(|(key, _)| find(to, key).is_none());
    patch.removed.extend(gone.map(|(key, _)| key.clone()));
    Some(Patch::Map(patch))
}

fn patch_value(node: &mut Value, patch: Patch) -> eyre::Result<()> {
    let patch = match patch {
        Patch::Set(value) => {
            *node = value;
            return Ok(());
        }
        Patch::Map(patch) => patch,
    };
    let Value::Map(entries) = node else {
        return Err(eyre::eyre!(
            "the patch changes a map where the configuration has no map"
        ));
    };
    entries.retain(|(key, _)| !patch.removed.contains(key));
    for (key, change) in patch.changed {
        let at = entries.iter().position(|(k, _)| *k == key);
        let at = at.unwrap_or_else(|| {
            entries.push((key, Value::Null));
            entries.len() - 1
        });
        patch_value(&mut entries[at].1, change)?;
    }
    Ok(())
}

//! The files that are replaced as a whole: the snapshot and the member's identity.

use super::{
    corrupt::Corrupt,
    files::{self, Files},
    frame::{self, End},
};
use crate::{net::codec, prelude::*, replica::entry::Snapshot};
use serde::{Deserialize, Serialize};

const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "image";

/// A snapshot as it is stored.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Image {
    #[serde(flatten)]
    pub(super) snapshot: Snapshot,
    /// Number of the first segment whose entries belong to the log. Earlier segments are
    /// removed, but a loss of power can bring any of them back. Images of earlier
    /// versions lack the number.
    #[serde(default, rename = "f")]
    pub(super) first_segment: u64,
}

/// Reads the latest snapshot.
pub(super) fn read(files: &dyn Files) -> eyre::Result<Option<Image>> {
    decode(files, SNAPSHOT_FILE)
}

/// Replaces the snapshot.
pub(super) fn store(files: &dyn Files, image: &Image) -> eyre::Result<()> {
    replace(files, SNAPSHOT_FILE, &codec::encode(image))
}

/// Writes the snapshot again if there is one. After a failed sync of the folder, it is not
/// certain that the disk holds the snapshot that a read returns.
pub(super) fn store_again(files: &dyn Files) -> eyre::Result<()> {
    match read_frame(files, SNAPSHOT_FILE)? {
        Some(content) => replace(files, SNAPSHOT_FILE, &content),
        None => Ok(()),
    }
}

/// Reads the identity of a folder that was formatted.
pub(super) fn read_identity(files: &dyn Files) -> eyre::Result<Option<MemberId>> {
    decode(files, IDENTITY_FILE)
}

/// Stores the identity, which is never replaced.
pub(super) fn store_identity(files: &dyn Files, id: MemberId) -> eyre::Result<()> {
    if files.read(IDENTITY_FILE)?.is_some() {
        return Ok(());
    }
    replace(files, IDENTITY_FILE, &codec::encode(&id))
}

fn decode<T: serde::de::DeserializeOwned>(
    files: &dyn Files,
    name: &str,
) -> eyre::Result<Option<T>> {
    let Some(content) = read_frame(files, name)? else {
        return Ok(None);
    };
    let decoded = codec::decode(&content);
    Ok(Some(decoded.map_err(|error| {
        Corrupt::new(format!("file `{name}` does not decode: {error:#}"))
    })?))
}

fn read_frame(files: &dyn Files, name: &str) -> eyre::Result<Option<Vec<u8>>> {
    let read = files.read(name);
    let Some(bytes) = read.wrap_err_with(|| format!("failed to read `{name}`"))? else {
        return Ok(None);
    };
    match frame::split(&bytes) {
        (contents, End::Whole) if contents.len() == 1 => Ok(Some(contents[0].to_vec())),
        _ => Err(Corrupt::new(format!("file `{name}` is corrupt")).into()),
    }
}

fn replace(files: &dyn Files, name: &str, content: &[u8]) -> eyre::Result<()> {
    let replaced = files::replace(files, name, &frame::frame(content));
    replaced.wrap_err_with(|| format!("failed to write `{name}`"))
}

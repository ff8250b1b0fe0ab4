//! Transfer of documents and fleets to entries in parts.
//!
//! Both can be larger than what a slow link carries within the timeout of a poll. A member
//! therefore compresses them once ([`Encoding`]) and sends them in parts. An entry requests
//! one part after the other ([`Download`]), from any member that has the content. A part
//! that is lost is requested again, and the parts before it are kept, so that a transfer
//! makes progress however large the content is.

use crate::{
    net::{codec, compress},
    prelude::*,
};
use eyre::ensure;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};
use tokio::sync::OnceCell;

/// Size of a part in bytes, except for the last one.
const PART_BYTES: usize = 16 << 10;

/// Number of contents of one kind that a member keeps encoded. Entries that fetch one which
/// has just been replaced can finish it.
const MAX_KEPT: usize = 8;

/// A part of an encoding.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Part {
    /// Log index of the content.
    #[serde(rename = "i")]
    pub index: Index,
    /// Digest of the whole encoding. Members of different builds may encode the same
    /// content differently.
    #[serde(rename = "d")]
    pub digest: Digest,
    /// Size of the whole encoding in bytes.
    #[serde(rename = "s")]
    pub size: u64,
    /// Offset of this part in the encoding.
    #[serde(rename = "o")]
    pub offset: u64,
    /// Content.
    #[serde(rename = "b", with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// A request for a part of an encoding.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartRequest {
    /// Log index of the content, by which documents and fleets also differ.
    #[serde(rename = "i")]
    pub index: Index,
    /// Offset of the part in the encoding.
    #[serde(rename = "o")]
    pub offset: u64,
}

/// A document or fleet as members send it: CBOR, compressed.
#[derive(Debug)]
pub struct Encoding {
    index: Index,
    digest: Digest,
    bytes: Vec<u8>,
}

impl Encoding {
    /// Encodes the content with this log index.
    #[must_use]
    pub fn new(index: Index, content: &impl Serialize) -> Self {
        let bytes = compress::compress(&codec::encode(content));
        Self {
            index,
            digest: Digest::of(&bytes),
            bytes,
        }
    }

    /// Returns the part at an offset, or none if the encoding ends before it.
    #[must_use]
    pub fn part(&self, offset: u64) -> Option<Part> {
        let begin = usize::try_from(offset).ok()?;
        let rest = self.bytes.get(begin..).filter(|rest| !rest.is_empty())?;
        Some(Part {
            index: self.index,
            digest: self.digest,
            size: self.bytes.len() as u64,
            offset,
            bytes: rest[..rest.len().min(PART_BYTES)].to_vec(),
        })
    }
}

/// A content of a member, which is encoded once.
#[derive(Debug)]
struct Kept {
    index: Index,
    encoding: OnceCell<Arc<Encoding>>,
}

/// The latest contents of one kind at a member, encoded when an entry first requests them.
#[derive(Debug, Default)]
pub struct Encodings(Mutex<VecDeque<Arc<Kept>>>);

impl Encodings {
    /// Returns the content with this log index, if it is kept and encoded.
    #[must_use]
    pub fn get(&self, index: Index) -> Option<Arc<Encoding>> {
        let kept = self.lock();
        let found = kept.iter().find(|kept| kept.index == index)?;
        found.encoding.get().map(Arc::clone)
    }

    /// Returns the content with this log index, and encodes it if it is not kept. The
    /// work is done on a thread of its own, since a large content takes long. Returns
    /// none if that thread failed.
    pub async fn get_or_encode(
        &self,
        index: Index,
        encode: impl FnOnce() -> Encoding + Send + 'static,
    ) -> Option<Arc<Encoding>> {
        let kept = self.keep(index);
        let encode = move || Arc::new(encode());
        let encoding = kept
            .encoding
            .get_or_try_init(|| tokio::task::spawn_blocking(encode))
            .await;
        encoding.ok().map(Arc::clone)
    }

    /// Returns the place of a content, after adding it and dropping the oldest one if
    /// there are too many.
    fn keep(&self, index: Index) -> Arc<Kept> {
        let mut kept = self.lock();
        if let Some(known) = kept.iter().find(|kept| kept.index == index) {
            return Arc::clone(known);
        }
        let added = Arc::new(Kept {
            index,
            encoding: OnceCell::new(),
        });
        kept.push_back(Arc::clone(&added));
        if kept.len() > MAX_KEPT {
            kept.pop_front();
        }
        added
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Arc<Kept>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A content that an entry is fetching: the parts that have arrived, in order.
#[derive(Clone, Debug)]
pub struct Download {
    index: Index,
    /// Digest and size of the encoding, once the first part has arrived.
    encoding: Option<(Digest, u64)>,
    bytes: Vec<u8>,
}

impl Download {
    /// Begins to fetch the content with this log index.
    #[must_use]
    pub const fn new(index: Index) -> Self {
        Self {
            index,
            encoding: None,
            bytes: Vec::new(),
        }
    }

    /// Adds the next part.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if the part is not the next one of the same
    /// encoding.
    pub fn add(&mut self, part: Part) -> eyre::Result<()> {
        let encoding = (part.digest, part.size);
        let expected = self.encoding.unwrap_or(encoding);
        ensure!(
            part.index == self.index && encoding == expected,
            "the part belongs to another encoding"
        );
        ensure!(
            part.offset == self.bytes.len() as u64,
            "the part begins at {} instead of {}",
            part.offset,
            self.bytes.len()
        );
        ensure!(!part.bytes.is_empty(), "the part is empty");
        self.encoding = Some(encoding);
        self.bytes.extend(part.bytes);
        Ok(())
    }

    /// Returns the log index of the content.
    #[must_use]
    pub const fn index(&self) -> Index {
        self.index
    }

    /// Returns the request for the next part, or none if all parts have arrived.
    #[must_use]
    pub fn next(&self) -> Option<PartRequest> {
        let offset = self.bytes.len() as u64;
        let complete = self.encoding.is_some_and(|(_, size)| offset >= size);
        (!complete).then_some(PartRequest {
            index: self.index,
            offset,
        })
    }

    /// Decodes the content once all parts have arrived.
    ///
    /// # Errors
    ///
    /// Returns an error if the parts do not have the digest of the encoding, or do not
    /// decode.
    pub fn decode<T: DeserializeOwned>(&self) -> eyre::Result<T> {
        let digest = self.encoding.map(|(digest, _)| digest);
        ensure!(
            digest == Some(Digest::of(&self.bytes)),
            "the parts do not have the digest of the whole"
        );
        codec::decode(&compress::decompress(&self.bytes)?)
    }
}

//! Reads lists that another program serves in pages, element by element.
//!
//! Other writers may add elements to such a list. One that cannot be read is left out and
//! reported, and all others count. Sizes, depths and counts are bounded before anything is
//! decoded.

use super::{
    bounded::require_success,
    elements::{ElementLimits, ElementScanner, Excess},
};
use crate::prelude::*;
use eyre::{WrapErr as _, ensure};
use reqwest::Response;
use serde::de::DeserializeOwned;
use serde_json::Value;
use slog::{Logger, warn};
use std::sync::{Mutex, PoisonError};

/// Longest page that is read, in bytes.
const MAX_PAGE_BYTES: usize = 4 << 20;

/// Most bytes of all pages of a list. 600 backend servers take about 150 KiB.
const MAX_LIST_BYTES: usize = 32 << 20;

/// Most pages of a list.
const MAX_PAGES: usize = 1_000;

/// Most elements of a list that can be read.
const MAX_ITEMS: usize = 20_000;

/// Longest token that names the next page, in bytes.
const MAX_TOKEN_BYTES: usize = 1_024;

/// Bounds on an element of a list.
const ELEMENT_LIMITS: ElementLimits = ElementLimits {
    bytes: 128 << 10,
    depth: 32,
};

/// Time between two log entries on elements that were left out. They stay on a list for as
/// long as their writer leaves them there, and the list is read about every second.
const LOG_INTERVAL: Duration = Duration::from_secs(30);

/// Longest description of a fault in the log, in characters.
const MAX_FAULT_CHARS: usize = 160;

/// Reads one list, page by page, and bounds it.
#[derive(Debug, Default)]
pub struct ListReader {
    bytes: usize,
    items: usize,
    tokens: FastSet<String>,
    skipped: Skipped,
}

impl ListReader {
    /// Reads a page, whose elements are in the array with this name in the outermost object.
    /// Without a name the page is the array.
    /// `convert` gets each decoded element, and returns an error for one that does not
    /// count. Returns the rest of the page, in which the array is empty.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer is no success, if the connection fails, if the page or the
    /// list is too long, or if the page without its elements does not decode.
    pub async fn read_page<T: DeserializeOwned, P: DeserializeOwned>(
        &mut self,
        response: Response,
        name: Option<&str>,
        mut convert: impl FnMut(T) -> Result<(), String>,
    ) -> eyre::Result<P> {
        let mut response = require_success(response)?;
        let mut scanner = ElementScanner::new(name, ELEMENT_LIMITS);
        let page = self.tokens.len();
        let (mut bytes, mut place) = (0, 0);
        while let Some(chunk) = response.chunk().await? {
            bytes += chunk.len();
            self.bytes += chunk.len();
            ensure!(
                bytes <= MAX_PAGE_BYTES,
                "the page is longer than {MAX_PAGE_BYTES} bytes"
            );
            ensure!(
                self.bytes <= MAX_LIST_BYTES,
                "the list is longer than {MAX_LIST_BYTES} bytes"
            );
            scanner.push(&chunk, |element| {
                match decode_element(element).and_then(&mut convert) {
                    Ok(()) => self.items += 1,
                    Err(fault) => self.skipped.add(page, place, &fault),
                }
                place += 1;
            })?;
            ensure!(
                self.items <= MAX_ITEMS,
                "the list has more than {MAX_ITEMS} elements"
            );
        }
        serde_json::from_slice(&scanner.finish()?).wrap_err("the page does not decode")
    }

    /// Takes the token that names the page to read next.
    ///
    /// # Errors
    ///
    /// Returns an error if the token is too long or repeats, or if there are too many pages.
    pub fn follow(&mut self, token: &str) -> eyre::Result<()> {
        ensure!(
            token.len() <= MAX_TOKEN_BYTES,
            "the token of the next page is longer than {MAX_TOKEN_BYTES} bytes"
        );
        ensure!(
            self.tokens.len() + 1 < MAX_PAGES,
            "the list has more than {MAX_PAGES} pages"
        );
        ensure!(
            self.tokens.insert(token.to_owned()),
            "the token of the next page repeats"
        );
        Ok(())
    }

    /// Returns the elements that were left out.
    #[must_use]
    pub fn into_skipped(self) -> Skipped {
        self.skipped
    }
}

/// Decodes an element. One that is not valid JSON as a whole is refused, also if only a
/// field that `T` does not know is invalid.
fn decode_element<T: DeserializeOwned>(element: Result<&[u8], Excess>) -> Result<T, String> {
    let bytes = element.map_err(|excess| match excess {
        Excess::Length => format!("longer than {} bytes", ELEMENT_LIMITS.bytes),
        Excess::Depth => format!("nested more than {} levels deep", ELEMENT_LIMITS.depth),
    })?;
    let text = str::from_utf8(bytes).map_err(|error| error.to_string())?;
    serde_json::from_str::<Value>(text)
        .and_then(|_valid| serde_json::from_str(text))
        .map_err(|error| error.to_string())
}

/// Elements of a list that were left out.
#[derive(Debug, Default)]
pub struct Skipped {
    /// Number of elements that were left out.
    pub count: u64,
    /// The first of them, and why.
    pub first: Option<SkippedElement>,
}

/// An element that was left out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SkippedElement {
    /// Number of its page, from 0.
    pub page: usize,
    /// Its place on the page, from 0.
    pub place: usize,
    /// Why it was left out.
    pub fault: String,
}

impl Skipped {
    fn add(&mut self, page: usize, place: usize, fault: &str) {
        self.count += 1;
        self.first.get_or_insert_with(|| SkippedElement {
            page,
            place,
            // Decoders repeat what they have read, which may be long.
            fault: fault.chars().take(MAX_FAULT_CHARS).collect(),
        });
    }
}

/// Counts elements that were left out in a metric, and logs them at a bounded rate.
#[derive(Debug)]
pub struct SkippedLog {
    /// Name of the list.
    list: &'static str,
    log: Logger,
    clock: Arc<dyn Clock>,
    next: Mutex<Mono>,
}

impl SkippedLog {
    /// Builds a log of the list with this name.
    #[must_use]
    pub fn new(list: &'static str, log: Logger, clock: Arc<dyn Clock>) -> Self {
        Self {
            list,
            log,
            clock,
            next: Mutex::default(),
        }
    }

    /// Records what one reading of the list has left out.
    pub fn record(&self, skipped: &Skipped) {
        metrics::counter!("cardamomtally_skipped_list_elements_total", "list" => self.list)
            .increment(skipped.count);
        let Some(first) = &skipped.first else { return };
        let now = self.clock.now();
        let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        if now < *next {
            return;
        }
        *next = now + LOG_INTERVAL;
        warn!(self.log, "list: elements left out"; "list" => self.list, "count" => skipped.count,
            "page" => first.page, "place" => first.place, "error" => &first.fault);
    }
}

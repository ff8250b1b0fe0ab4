//! Evidence as processes tell it to each other.
//!
//! Clocks of processes are not comparable, so times are told as ages. Whoever receives an
//! item adds it to what it knows; an item that is lost, or comes twice or by several ways,
//! does no harm.

use super::{
    evidence::{End, Evidence},
    fingerprint::{CallerKey, Fingerprint, ServerKey},
};
use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Greatest number of answers in full in one item, so that it fits into a packet. The latest
/// ones are told.
const MAX_GOODS: usize = 16;

/// An end: the instance, the caller, the hash of the request, the place of the content in
/// the prompt, the age of the run's beginning and that of the end, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ToldEnd(
    pub ServerKey,
    pub CallerKey,
    pub u32,
    pub u8,
    pub u32,
    pub u32,
);

/// Evidence on one piece of content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Item {
    /// The content.
    #[serde(rename = "f")]
    pub content: Fingerprint,
    /// Ends of backend servers while it ran there.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub ends: Vec<ToldEnd>,
    /// Ages of the latest answers in full by caller, in milliseconds.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub goods: Vec<(CallerKey, u32)>,
    /// Age of the latest trial, in milliseconds.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub trial: Option<u32>,
}

/// Evidence that one process tells another.
pub type Report = Vec<Item>;

impl ToldEnd {
    fn new(end: &End, now: Mono) -> Self {
        let ages = (age(end.began, now), age(end.at, now));
        Self(
            end.server,
            end.caller,
            end.request,
            end.depth,
            ages.0,
            ages.1,
        )
    }

    /// Returns the end, with its times on the clock of the process that was told it.
    #[must_use]
    pub fn end(self, now: Mono) -> End {
        let Self(server, caller, request, depth, began, at) = self;
        End {
            server,
            caller,
            request,
            depth,
            began: ago(began, now),
            at: ago(at, now),
        }
    }
}

impl Item {
    /// Builds the item that tells evidence at a time.
    #[must_use]
    pub fn new(content: Fingerprint, evidence: &Evidence, now: Mono) -> Self {
        let ends = evidence.ends().iter();
        let mut goods = evidence.goods().to_vec();
        goods.sort_unstable_by_key(|(_, at)| std::cmp::Reverse(*at));
        goods.truncate(MAX_GOODS);
        let goods = goods.iter();
        Self {
            content,
            ends: ends.map(|end| ToldEnd::new(end, now)).collect(),
            goods: goods.map(|(caller, at)| (*caller, age(*at, now))).collect(),
            trial: evidence.trial().map(|at| age(at, now)),
        }
    }

    /// Adds the item to evidence.
    pub fn add_to(&self, evidence: &mut Evidence, now: Mono) {
        for (caller, age) in &self.goods {
            evidence.add_good(*caller, ago(*age, now));
        }
        for told in &self.ends {
            evidence.add_end(told.end(now));
        }
        if let Some(age) = self.trial {
            evidence.add_trial(ago(age, now));
        }
    }
}

fn age(at: Mono, now: Mono) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}

fn ago(age: u32, now: Mono) -> Mono {
    now - Duration::from_millis(u64::from(age))
}

//! Bills: one for each request id.
//!
//! Which requests are billed is kept for each entry incarnation as a highest-water
//! mark with the gaps below it as ranges, so that state grows with entries and
//! with requests that gave no bill, not with bills. An incarnation that has sent
//! no bill for a long time is forgotten.

use super::fault::InjectedFault;
use crate::core::{
    claim::{Bill, BillSum},
    config::VersionId,
    id::{Incarnation, Name, RequestId},
    map::FastMap,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc};

/// How long an incarnation without bills is remembered.
pub const ENTRY_RETENTION_MS: u64 = 30 * 24 * 3_600_000;

/// Most gaps that an incarnation keeps. Above it the oldest gap is given up: a
/// bill that still comes for it is refused.
pub const GAP_LIMIT: usize = 8_192;

/// Numbers from `first` to `last`, both included.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gap {
    /// First number.
    #[serde(rename = "a")]
    pub first: u64,
    /// Last number.
    #[serde(rename = "z")]
    pub last: u64,
}

/// Which requests of an entry incarnation are billed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Watermark {
    /// Highest billed number.
    #[serde(rename = "h")]
    pub highest: u64,
    /// Numbers below it without a bill, rising.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub gaps: Vec<Gap>,
    /// When the latest bill came, in the ledger's time.
    #[serde(rename = "a")]
    pub at_ms: u64,
}

impl Watermark {
    /// Watermark a number as billed. Returns false if it already was.
    pub fn mark(&mut self, seq: u64) -> bool {
        if seq > self.highest {
            if seq > self.highest + 1 {
                let first = self.highest + 1;
                self.gaps.push(Gap {
                    first,
                    last: seq - 1,
                });
            }
            self.highest = seq;
            self.limit_gaps();
            return true;
        }
        let at = self.gaps.partition_point(|gap| gap.last < seq);
        let Some(gap) = self.gaps.get(at).copied().filter(|gap| gap.first <= seq) else {
            return false;
        };
        self.split(at, gap, seq);
        true
    }

    fn split(&mut self, at: usize, gap: Gap, seq: u64) {
        let below = (gap.first < seq).then(|| Gap {
            first: gap.first,
            last: seq - 1,
        });
        let above = (seq < gap.last).then(|| Gap {
            first: seq + 1,
            last: gap.last,
        });
        self.gaps.splice(at..=at, below.into_iter().chain(above));
        self.limit_gaps();
    }

    fn limit_gaps(&mut self) {
        if self.gaps.len() > GAP_LIMIT {
            self.gaps.remove(0);
        }
    }
}

/// Who pays for what.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Payer {
    partner: Name,
    workspace: Name,
    version: VersionId,
}

/// What was used.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    requests: u64,
    prompt_tokens: u64,
    completion_tokens: u64,
    cost_micros: u64,
}

/// An entry incarnation's watermark.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryWatermark {
    /// The incarnation.
    #[serde(rename = "i")]
    pub entry: Incarnation,
    /// Its watermark.
    #[serde(rename = "m")]
    pub watermark: Watermark,
}

/// All of a shard's bills, for a snapshot.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BillState {
    /// Watermark by rising incarnation.
    #[serde(rename = "e")]
    pub entries: Vec<EntryWatermark>,
    /// Sums by payer.
    #[serde(rename = "s")]
    pub sums: Vec<BillSum>,
}

/// All bills in a shard.
#[derive(Clone, Debug, Default)]
pub struct Bills {
    entries: FastMap<Incarnation, Watermark>,
    sums: BTreeMap<Payer, Totals>,
    fault: InjectedFault,
}

impl Bills {
    /// Builds the bills of a snapshot.
    #[must_use]
    pub fn new(state: BillState, fault: InjectedFault) -> Self {
        let entries = state.entries.into_iter().map(|e| (e.entry, e.watermark));
        Self {
            entries: entries.collect(),
            sums: state.sums.into_iter().map(from_sum).collect(),
            fault,
        }
    }

    /// Returns all bills in a fixed order, for a snapshot.
    #[must_use]
    pub fn to_state(&self) -> BillState {
        let mut entries: Vec<EntryWatermark> = self
            .entries
            .iter()
            .map(|(entry, watermark)| EntryWatermark {
                entry: *entry,
                watermark: watermark.clone(),
            })
            .collect();
        entries.sort_by_key(|e| e.entry);
        BillState {
            entries,
            sums: self.sums(),
        }
    }

    /// Records a bill. Returns false if the request was billed before.
    pub fn record(&mut self, bill: Bill, now_ms: u64) -> bool {
        let RequestId { entry, seq } = bill.request;
        let watermark = self.entries.entry(entry).or_default();
        watermark.at_ms = watermark.at_ms.max(now_ms);
        let first = watermark.mark(seq) || self.fault == InjectedFault::CountTwice;
        if first {
            self.add(bill);
        }
        first
    }

    /// Returns the sums by payer.
    #[must_use]
    pub fn sums(&self) -> Vec<BillSum> {
        self.sums.iter().map(|(p, s)| to_sum(p, *s)).collect()
    }

    /// Forgets incarnations that have sent no bill for long.
    pub fn purge(&mut self, now_ms: u64) {
        self.entries
            .retain(|_, watermark| now_ms < watermark.at_ms.saturating_add(ENTRY_RETENTION_MS));
    }

    fn add(&mut self, bill: Bill) {
        let payer = Payer {
            partner: bill.partner,
            workspace: bill.workspace,
            version: bill.version,
        };
        let sum = self.sums.entry(payer).or_default();
        sum.requests += 1;
        sum.prompt_tokens = sum.prompt_tokens.saturating_add(bill.prompt_tokens);
        sum.completion_tokens = sum.completion_tokens.saturating_add(bill.completion_tokens);
        sum.cost_micros = sum.cost_micros.saturating_add(bill.cost_micros);
    }
}

fn from_sum(sum: BillSum) -> (Payer, Totals) {
    let payer = Payer {
        partner: sum.partner,
        workspace: sum.workspace,
        version: sum.version,
    };
    let totals = Totals {
        requests: sum.requests,
        prompt_tokens: sum.prompt_tokens,
        completion_tokens: sum.completion_tokens,
        cost_micros: sum.cost_micros,
    };
    (payer, totals)
}

fn to_sum(payer: &Payer, sum: Totals) -> BillSum {
    BillSum {
        partner: Arc::clone(&payer.partner),
        workspace: Arc::clone(&payer.workspace),
        version: payer.version.clone(),
        requests: sum.requests,
        prompt_tokens: sum.prompt_tokens,
        completion_tokens: sum.completion_tokens,
        cost_micros: sum.cost_micros,
    }
}

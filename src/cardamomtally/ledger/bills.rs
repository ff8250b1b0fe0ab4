//! Bills: at most one is counted for each request id.
//!
//! For each entry incarnation the shard stores the highest billed sequence
//! number and the unbilled ranges ("gaps") below it, instead of one record per
//! bill. The state therefore grows with the number of entries and of requests
//! that were never billed, and not with the number of bills. The record of an
//! incarnation that has sent no bill for [`ENTRY_RETENTION_MS`] is removed.

use super::fault::InjectedFault;
use crate::core::{
    claim::{Bill, BillSum},
    config::VersionId,
    id::{Incarnation, Name, RequestId},
    map::FastMap,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc};

/// Time for which the record of an entry incarnation is kept after its latest
/// bill, in milliseconds of ledger time (30 days). [`Bills::purge`] then removes
/// the record.
pub const ENTRY_RETENTION_MS: u64 = 30 * 24 * 3_600_000;

/// Largest number of gaps that are stored for one entry incarnation. Above it
/// the oldest gap is dropped, and a bill that arrives later for a request in
/// that gap counts as a duplicate and is not added to the totals.
pub const GAP_LIMIT: usize = 8_192;

/// A range of unbilled sequence numbers, both ends included.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Gap {
    /// First unbilled sequence number.
    #[serde(rename = "a")]
    pub first: u64,
    /// Last unbilled sequence number.
    #[serde(rename = "z")]
    pub last: u64,
}

/// The requests of one entry incarnation that are billed, as a high-water mark
/// and the gaps below it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Watermark {
    /// Highest billed sequence number.
    #[serde(rename = "h")]
    pub highest: u64,
    /// Unbilled ranges below `highest`, in ascending order.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub gaps: Vec<Gap>,
    /// Ledger time at which the latest bill was applied, in milliseconds.
    #[serde(rename = "a")]
    pub at_ms: u64,
}

impl Watermark {
    /// Marks a sequence number as billed. Returns false if it already was, or if
    /// its gap has been dropped.
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

/// Partner, workspace and version by which bills are totalled.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Payer {
    partner: Name,
    workspace: Name,
    version: VersionId,
}

/// Totals of the bills of one payer.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    requests: u64,
    prompt_tokens: u64,
    completion_tokens: u64,
    cost_micros: u64,
}

/// The watermark of one entry incarnation, in a snapshot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryWatermark {
    /// Incarnation of the entry.
    #[serde(rename = "i")]
    pub entry: Incarnation,
    /// Billed requests of that incarnation.
    #[serde(rename = "m")]
    pub watermark: Watermark,
}

/// Bills of a shard, as written to a snapshot.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BillState {
    /// Watermarks, in ascending order of the incarnation.
    #[serde(rename = "e")]
    pub entries: Vec<EntryWatermark>,
    /// Totals, in ascending order of partner, workspace and version.
    #[serde(rename = "s")]
    pub sums: Vec<BillSum>,
}

/// Bills of a shard.
#[derive(Clone, Debug, Default)]
pub struct Bills {
    entries: FastMap<Incarnation, Watermark>,
    sums: BTreeMap<Payer, Totals>,
    fault: InjectedFault,
}

impl Bills {
    /// Restores the bills of a snapshot.
    #[must_use]
    pub fn new(state: BillState, fault: InjectedFault) -> Self {
        let entries = state.entries.into_iter().map(|e| (e.entry, e.watermark));
        Self {
            entries: entries.collect(),
            sums: state.sums.into_iter().map(from_sum).collect(),
            fault,
        }
    }

    /// Returns the state in a fixed order, so that equal states give equal
    /// snapshots.
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

    /// Adds a bill to the totals. Returns false, and adds nothing, if the request
    /// was billed before.
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

    /// Returns the totals, in ascending order of partner, workspace and version.
    #[must_use]
    pub fn sums(&self) -> Vec<BillSum> {
        self.sums.iter().map(|(p, s)| to_sum(p, *s)).collect()
    }

    /// Removes the records of entry incarnations whose latest bill is at least
    /// [`ENTRY_RETENTION_MS`] old.
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

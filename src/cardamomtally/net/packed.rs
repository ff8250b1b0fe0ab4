//! A compact encoding of ledger operations.
//!
//! Bills make up most of the ledger's traffic. A batch lists each entry and each
//! payer (partner, workspace, version) once, and its bills refer to them by
//! position in these lists. A bill then takes about 30 bytes instead of about
//! 200. All other operations are encoded unchanged.

use crate::core::{
    claim::{Bill, ClaimOp},
    config::VersionId,
    id::{Incarnation, Name, RequestId},
    map::FastMap,
};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use std::{hash::Hash, sync::Arc};

/// A batch of operations in the compact encoding.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Packed {
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    entries: Vec<Incarnation>,
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    payers: Vec<Payer>,
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    bills: Vec<PackedBill>,
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    others: Vec<ClaimOp>,
}

/// Partner and workspace that pay for a bill, and the version or plain service
/// that they used.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
struct Payer {
    #[serde(rename = "p")]
    partner: Name,
    #[serde(rename = "w")]
    workspace: Name,
    #[serde(rename = "o")]
    owner: Name,
    #[serde(rename = "v")]
    version: Name,
}

/// A bill that refers to its batch's lists of entries and payers by position.
#[derive(Debug, Deserialize, Serialize)]
struct PackedBill {
    /// Position of the operation in the batch.
    #[serde(rename = "a")]
    position: u32,
    #[serde(rename = "e")]
    entry: u32,
    #[serde(rename = "s")]
    seq: u64,
    #[serde(rename = "w")]
    payer: u32,
    #[serde(rename = "p", default, skip_serializing_if = "is_zero")]
    prompt: u64,
    #[serde(rename = "c", default, skip_serializing_if = "is_zero")]
    completion: u64,
    #[serde(rename = "m", default, skip_serializing_if = "is_zero")]
    micros: u64,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// Serialises operations in the compact encoding.
///
/// # Errors
///
/// Returns the serializer's error.
pub fn serialize<S: Serializer>(ops: &[ClaimOp], serializer: S) -> Result<S::Ok, S::Error> {
    pack(ops).serialize(serializer)
}

/// Deserialises operations from the compact encoding.
///
/// # Errors
///
/// Returns an error if a bill refers to an entry or payer that its batch does not
/// list, or if operations are missing before the position of a bill.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<ClaimOp>, D::Error> {
    let packed = Packed::deserialize(deserializer)?;
    unpack(packed).ok_or_else(|| D::Error::custom("a bill refers to a missing row"))
}

/// Assigns a position to each distinct value, in the order of first use.
#[derive(Debug)]
struct Interner<T> {
    rows: Vec<T>,
    positions: FastMap<T, u32>,
}

impl<T: Clone + Eq + Hash> Interner<T> {
    fn new() -> Self {
        Self {
            rows: Vec::new(),
            positions: FastMap::default(),
        }
    }

    fn intern(&mut self, value: T) -> u32 {
        let next = self.rows.len() as u32;
        *self.positions.entry(value).or_insert_with_key(|value| {
            self.rows.push(value.clone());
            next
        })
    }
}

fn pack(ops: &[ClaimOp]) -> Packed {
    let mut entries = Interner::new();
    let mut payers = Interner::new();
    let mut packed = Packed::default();
    for (position, op) in ops.iter().enumerate() {
        let ClaimOp::Bill(bill) = op else {
            packed.others.push(op.clone());
            continue;
        };
        packed.bills.push(PackedBill {
            position: position as u32,
            entry: entries.intern(bill.request.entry),
            seq: bill.request.seq,
            payer: payers.intern(payer_of(bill)),
            prompt: bill.prompt_tokens,
            completion: bill.completion_tokens,
            micros: bill.cost_micros,
        });
    }
    packed.entries = entries.rows;
    packed.payers = payers.rows;
    packed
}

fn payer_of(bill: &Bill) -> Payer {
    Payer {
        partner: Arc::clone(&bill.partner),
        workspace: Arc::clone(&bill.workspace),
        owner: Arc::clone(&bill.version.partner),
        version: Arc::clone(&bill.version.name),
    }
}

fn unpack(packed: Packed) -> Option<Vec<ClaimOp>> {
    let Packed {
        entries,
        payers,
        bills,
        others,
    } = packed;
    let mut ops = Vec::with_capacity(bills.len() + others.len());
    let mut others = others.into_iter();
    for bill in bills {
        while ops.len() < bill.position as usize {
            ops.push(others.next()?);
        }
        ops.push(ClaimOp::Bill(unpack_bill(&bill, &entries, &payers)?));
    }
    ops.extend(others);
    Some(ops)
}

fn unpack_bill(bill: &PackedBill, entries: &[Incarnation], payers: &[Payer]) -> Option<Bill> {
    let payer = payers.get(bill.payer as usize)?;
    Some(Bill {
        request: RequestId {
            entry: *entries.get(bill.entry as usize)?,
            seq: bill.seq,
        },
        partner: Arc::clone(&payer.partner),
        workspace: Arc::clone(&payer.workspace),
        version: VersionId {
            partner: Arc::clone(&payer.owner),
            name: Arc::clone(&payer.version),
        },
        prompt_tokens: bill.prompt,
        completion_tokens: bill.completion,
        cost_micros: bill.micros,
    })
}

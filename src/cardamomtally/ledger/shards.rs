//! The ledger in a control member: splits each batch by shard, proposes the
//! operations to the shards' logs and merges the replies.

use super::command::{Command, Tick, decode_replies};
use crate::core::{
    claim::{BillSum, ClaimError, ClaimOp, ClaimReply},
    clock::Clock,
    id::{GroupId, Incarnation},
    log::{Log, LogError},
};
use futures::future::join_all;
use std::{collections::BTreeMap, sync::Arc};

/// Returns the group that stores an operation's key, from 1 to `shards`.
///
/// Bills are distributed by the incarnation of their entry, so that a single
/// shard receives all sequence numbers of an incarnation. A query for the bill
/// totals ([`ClaimOp::Bills`]) goes to every shard; for it this function returns
/// the first.
#[must_use]
pub fn shard_of(op: &ClaimOp, shards: u16) -> GroupId {
    let hash = match op {
        ClaimOp::Begin { key, .. }
        | ClaimOp::Reassign { key, .. }
        | ClaimOp::Settle { key, .. }
        | ClaimOp::Look { key }
        | ClaimOp::Session { key, .. } => key.0.to_u64(),
        ClaimOp::Bill(bill) => bill.request.entry.0,
        ClaimOp::Bills => 0,
    };
    GroupId(1 + (hash % u64::from(shards.max(1))) as u16)
}

/// Applies operations to the shards of a replicated log.
#[derive(Debug)]
pub struct Shards {
    log: Arc<dyn Log>,
    count: u16,
    clock: Arc<dyn Clock>,
    incarnation: u64,
}

impl Shards {
    /// Uses the groups 1 to `count` of a log as shards.
    #[must_use]
    pub fn new(log: Arc<dyn Log>, count: u16, clock: Arc<dyn Clock>) -> Self {
        Self {
            log,
            count: count.max(1),
            clock,
            incarnation: Incarnation::random().0,
        }
    }

    /// Returns the log groups that are shards.
    pub fn groups(&self) -> impl Iterator<Item = GroupId> + use<> {
        (1..=self.count).map(GroupId)
    }

    /// Applies a batch and returns one reply per operation. Operations on the
    /// same key are applied in the order of the batch.
    ///
    /// # Errors
    ///
    /// Returns an error if any shard gave no answer. Operations of the batch on
    /// other shards may be committed nevertheless.
    pub async fn apply(&self, ops: Vec<ClaimOp>) -> Result<Vec<ClaimReply>, ClaimError> {
        let batches = self.split(ops);
        let total = batches
            .values()
            .map(|batch| batch.positions.len())
            .sum::<usize>();
        let calls = batches.into_iter().map(|(group, batch)| async move {
            let replies = self.propose(group, batch.ops).await?;
            Ok::<_, ClaimError>((batch.positions, replies))
        });
        let mut replies: Vec<Option<ClaimReply>> = vec![None; total];
        for outcome in join_all(calls).await {
            let (positions, answers) = outcome?;
            for (position, answer) in positions.into_iter().zip(answers) {
                merge(&mut replies, position, answer);
            }
        }
        let all: Option<Vec<ClaimReply>> = replies.into_iter().flatten().map(Some).collect();
        all.ok_or_else(|| unknown_outcome("a shard answered too few operations"))
    }

    /// Commits a reading of this member's clock to each shard that it leads.
    ///
    /// Without it, ledger time would not advance in a shard that receives no
    /// operations, and its claims would not expire. Called every few seconds.
    ///
    /// # Errors
    ///
    /// Returns the error of the first shard that fails; the shards after it get
    /// no reading.
    pub async fn tick(&self) -> Result<(), ClaimError> {
        for group in self.groups() {
            if self.log.leader(group).is_self {
                self.propose(group, Vec::new()).await?;
            }
        }
        Ok(())
    }

    fn split(&self, ops: Vec<ClaimOp>) -> BTreeMap<GroupId, ShardBatch> {
        let mut batches: BTreeMap<GroupId, ShardBatch> = BTreeMap::new();
        for (position, op) in ops.into_iter().enumerate() {
            if op == ClaimOp::Bills {
                for group in self.groups() {
                    batches.entry(group).or_default().push(position, op.clone());
                }
                continue;
            }
            let group = shard_of(&op, self.count);
            batches.entry(group).or_default().push(position, op);
        }
        batches
    }

    async fn propose(
        &self,
        group: GroupId,
        ops: Vec<ClaimOp>,
    ) -> Result<Vec<ClaimReply>, ClaimError> {
        let expected = ops.len();
        let command = Command {
            tick: self.read_clock(group),
            ops,
        };
        let bytes = self
            .log
            .propose(group, command.encode())
            .await
            .map_err(|error| to_claim_error(&error))?;
        let replies =
            decode_replies(&bytes).map_err(|error| unknown_outcome(&error.to_string()))?;
        if replies.len() == expected {
            Ok(replies)
        } else {
            Err(unknown_outcome("the shard answered too few operations"))
        }
    }

    fn read_clock(&self, group: GroupId) -> Option<Tick> {
        self.log.leader(group).is_self.then(|| Tick {
            incarnation: self.incarnation,
            elapsed_ms: self.clock.now().0 / 1_000,
        })
    }
}

/// The operations of a batch that belong to one shard, with their positions in
/// the batch.
#[derive(Debug, Default)]
struct ShardBatch {
    positions: Vec<usize>,
    ops: Vec<ClaimOp>,
}

impl ShardBatch {
    fn push(&mut self, position: usize, op: ClaimOp) {
        self.positions.push(position);
        self.ops.push(op);
    }
}

fn merge(replies: &mut [Option<ClaimReply>], position: usize, answer: ClaimReply) {
    match (&mut replies[position], answer) {
        (Some(ClaimReply::Bills(sums)), ClaimReply::Bills(more)) => add_sums(sums, more),
        (slot, answer) => *slot = Some(answer),
    }
}

/// Adds the bill totals of another shard to `sums`, by payer.
pub fn add_sums(sums: &mut Vec<BillSum>, more: Vec<BillSum>) {
    for other in more {
        let same = |s: &&mut BillSum| {
            s.partner == other.partner
                && s.workspace == other.workspace
                && s.version == other.version
        };
        match sums.iter_mut().find(same) {
            Some(sum) => {
                sum.requests += other.requests;
                sum.prompt_tokens += other.prompt_tokens;
                sum.completion_tokens += other.completion_tokens;
                sum.cost_micros += other.cost_micros;
            }
            None => sums.push(other),
        }
    }
}

fn to_claim_error(error: &LogError) -> ClaimError {
    ClaimError {
        reason: format!("the shard's log gave no answer: {error}"),
        refused: *error == LogError::NoLeader,
    }
}

fn unknown_outcome(reason: &str) -> ClaimError {
    ClaimError {
        reason: reason.to_owned(),
        refused: false,
    }
}

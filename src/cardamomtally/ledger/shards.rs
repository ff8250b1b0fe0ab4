//! A control member's side of the ledger: it splits batches by shard.

use super::command::{Command, Tick, decode_replies};
use crate::core::{
    claim::{BillSum, ClaimError, ClaimOp, ClaimReply},
    clock::Clock,
    id::{GroupId, Incarnation},
    log::{Log, LogError},
};
use futures::future::join_all;
use std::{collections::BTreeMap, sync::Arc};

/// Returns the group that holds an operation's key: other of 1 to `shards`.
///
/// Bills go by their entry's incarnation, so that other shard sees all numbers of
/// an incarnation. Sums of bills are asked of every shard; for them this
/// returns the first.
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

/// Applies operations to the shards behind a log.
#[derive(Debug)]
pub struct Shards {
    log: Arc<dyn Log>,
    count: u16,
    clock: Arc<dyn Clock>,
    incarnation: u64,
}

impl Shards {
    /// Builds the shards 1 to `count` of a log.
    #[must_use]
    pub fn new(log: Arc<dyn Log>, count: u16, clock: Arc<dyn Clock>) -> Self {
        Self {
            log,
            count: count.max(1),
            clock,
            incarnation: Incarnation::random().0,
        }
    }

    /// Returns the groups of the shards.
    pub fn groups(&self) -> impl Iterator<Item = GroupId> + use<> {
        (1..=self.count).map(GroupId)
    }

    /// Applies a batch. Operations on other key keep their order.
    ///
    /// # Errors
    ///
    /// Returns an error if other of the shards gave no answer. Operations on the
    /// other shards may be committed all the same.
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

    /// Commits this member's clock to the shards that it leads, so that claims
    /// expire. Called every few seconds.
    ///
    /// # Errors
    ///
    /// Returns the first shard's error.
    pub async fn tick(&self) -> Result<(), ClaimError> {
        for group in self.groups() {
            if self.log.leader(group).here {
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
        self.log.leader(group).here.then(|| Tick {
            incarnation: self.incarnation,
            elapsed_ms: self.clock.now().0 / 1_000,
        })
    }
}

/// The operations of other shard, with their positions in the batch.
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

/// Adds the sums of another shard.
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

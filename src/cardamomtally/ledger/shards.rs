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

/// Returns the group that holds an operation's key: one of 1 to `shards`.
///
/// Bills go by their entry's incarnation, so that one shard sees all numbers of
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
    ticker: u64,
}

impl Shards {
    /// Builds the shards 1 to `count` of a log.
    #[must_use]
    pub fn new(log: Arc<dyn Log>, count: u16, clock: Arc<dyn Clock>) -> Self {
        Self {
            log,
            count: count.max(1),
            clock,
            ticker: Incarnation::random().0,
        }
    }

    /// Returns the groups of the shards.
    pub fn groups(&self) -> impl Iterator<Item = GroupId> + use<> {
        (1..=self.count).map(GroupId)
    }

    /// Applies a batch. Operations on one key keep their order.
    ///
    /// # Errors
    ///
    /// Returns an error if one of the shards gave no answer. Operations on the
    /// other shards may be committed all the same.
    pub async fn apply(&self, ops: Vec<ClaimOp>) -> Result<Vec<ClaimReply>, ClaimError> {
        let parts = self.split(ops);
        let total = parts.values().map(|part| part.places.len()).sum::<usize>();
        let calls = parts.into_iter().map(|(group, part)| async move {
            let replies = self.propose(group, part.ops).await?;
            Ok::<_, ClaimError>((part.places, replies))
        });
        let mut replies: Vec<Option<ClaimReply>> = vec![None; total];
        for outcome in join_all(calls).await {
            let (places, answers) = outcome?;
            for (place, answer) in places.into_iter().zip(answers) {
                merge(&mut replies, place, answer);
            }
        }
        let all: Option<Vec<ClaimReply>> = replies.into_iter().flatten().map(Some).collect();
        all.ok_or_else(|| unknown("a shard answered too few operations"))
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

    fn split(&self, ops: Vec<ClaimOp>) -> BTreeMap<GroupId, Part> {
        let mut parts: BTreeMap<GroupId, Part> = BTreeMap::new();
        for (place, op) in ops.into_iter().enumerate() {
            if op == ClaimOp::Bills {
                for group in self.groups() {
                    parts.entry(group).or_default().push(place, op.clone());
                }
                continue;
            }
            let group = shard_of(&op, self.count);
            parts.entry(group).or_default().push(place, op);
        }
        parts
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
        let replies = decode_replies(&bytes).map_err(|error| unknown(&error.to_string()))?;
        if replies.len() == expected {
            Ok(replies)
        } else {
            Err(unknown("the shard answered too few operations"))
        }
    }

    fn read_clock(&self, group: GroupId) -> Option<Tick> {
        self.log.leader(group).here.then(|| Tick {
            ticker: self.ticker,
            elapsed_ms: self.clock.now().0 / 1_000,
        })
    }
}

/// The operations of one shard, with their places in the batch.
#[derive(Debug, Default)]
struct Part {
    places: Vec<usize>,
    ops: Vec<ClaimOp>,
}

impl Part {
    fn push(&mut self, place: usize, op: ClaimOp) {
        self.places.push(place);
        self.ops.push(op);
    }
}

fn merge(replies: &mut [Option<ClaimReply>], place: usize, answer: ClaimReply) {
    match (&mut replies[place], answer) {
        (Some(ClaimReply::Bills(sums)), ClaimReply::Bills(more)) => add_sums(sums, more),
        (slot, answer) => *slot = Some(answer),
    }
}

/// Adds the sums of another shard.
pub fn add_sums(sums: &mut Vec<BillSum>, more: Vec<BillSum>) {
    for one in more {
        let same = |s: &&mut BillSum| {
            s.partner == one.partner && s.workspace == one.workspace && s.version == one.version
        };
        match sums.iter_mut().find(same) {
            Some(sum) => {
                sum.requests += one.requests;
                sum.prompt_tokens += one.prompt_tokens;
                sum.completion_tokens += one.completion_tokens;
                sum.cost_micros += one.cost_micros;
            }
            None => sums.push(one),
        }
    }
}

fn to_claim_error(error: &LogError) -> ClaimError {
    ClaimError {
        reason: format!("the shard's log gave no answer: {error}"),
        refused: *error == LogError::NoLeader,
    }
}

fn unknown(reason: &str) -> ClaimError {
    ClaimError {
        reason: reason.to_owned(),
        refused: false,
    }
}

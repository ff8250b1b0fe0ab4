//! A claim store that uses a replicated log in the same process, without a
//! control member in between. For tests and benches.

use super::shards::Shards;
use crate::core::{
    claim::{ClaimError, ClaimOp, ClaimReply, ClaimStore},
    clock::{Clock, SystemClock},
    log::Log,
};
use futures::future::BoxFuture;
use std::sync::Arc;

/// A claim store that proposes its operations directly to a replicated log.
#[derive(Debug)]
pub struct LocalStore {
    shards: Shards,
}

impl LocalStore {
    /// Builds a store that uses the groups 1 to `count` of a log as shards.
    #[must_use]
    pub fn new(log: Arc<dyn Log>, count: u16) -> Self {
        Self::with_clock(log, count, Arc::new(SystemClock::default()))
    }

    /// Builds a store that reads ledger time from `clock`.
    #[must_use]
    pub fn with_clock(log: Arc<dyn Log>, count: u16, clock: Arc<dyn Clock>) -> Self {
        Self {
            shards: Shards::new(log, count, clock),
        }
    }
}

impl ClaimStore for LocalStore {
    fn apply(&self, op: ClaimOp) -> BoxFuture<'_, Result<ClaimReply, ClaimError>> {
        Box::pin(async move {
            let mut replies = self.shards.apply(vec![op]).await?;
            replies.pop().ok_or_else(|| ClaimError {
                reason: "the shard gave no reply".to_owned(),
                refused: false,
            })
        })
    }
}

//! A log that reaches the groups of other members.
//!
//! A ledger shard has fewer replicas than there are control members. A command
//! for a shard that has none here travels to a member that has one.

use crate::{
    core::{
        id::{GroupId, Index},
        log::{Leader, Log, LogError},
    },
    net::{
        transport::Transport,
        wire::{Request, Response},
    },
};
use futures::future::BoxFuture;
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// How long a member waits for another one to commit a command.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(2);

/// A log that reaches the groups of other members.
#[derive(Debug)]
pub struct RoutedLog {
    /// The log with the groups that have a replica here.
    pub local: Arc<dyn Log>,
    /// Poll addresses of the members of each other group.
    pub remote: BTreeMap<GroupId, Vec<String>>,
    /// The way there.
    pub transport: Arc<dyn Transport>,
}

impl RoutedLog {
    async fn forward(
        &self,
        members: &[String],
        group: GroupId,
        command: Vec<u8>,
    ) -> Result<Vec<u8>, LogError> {
        let mut last = LogError::NoLeader;
        for member in members {
            let command = serde_bytes::ByteBuf::from(command.clone());
            let request = Request::Propose(group, command);
            let answer = self.transport.call(member, request, FORWARD_TIMEOUT).await;
            match answer {
                Ok(Response::Proposed(bytes)) => return Ok(bytes.into_vec()),
                Ok(Response::Unavailable { refused: true, .. }) => {}
                // It may have been committed, which the ledger tells apart.
                _ => last = LogError::Unknown,
            }
        }
        Err(last)
    }
}

impl Log for RoutedLog {
    fn propose(
        &self,
        group: GroupId,
        command: Vec<u8>,
    ) -> BoxFuture<'_, Result<Vec<u8>, LogError>> {
        match self.remote.get(&group) {
            Some(members) => Box::pin(self.forward(members, group, command)),
            None => self.local.propose(group, command),
        }
    }

    fn barrier(&self, group: GroupId) -> BoxFuture<'_, Result<Index, LogError>> {
        self.local.barrier(group)
    }

    fn leader(&self, group: GroupId) -> Leader {
        if self.remote.contains_key(&group) {
            return Leader::default();
        }
        self.local.leader(group)
    }
}

//! A log that forwards commands to groups without a local replica.
//!
//! A ledger shard can have fewer replicas than there are control members. A
//! command for a shard without a replica on this member is forwarded to a member
//! that has one.

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
use futures::future::{BoxFuture, ready};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Timeout of a forwarded command. After it, the outcome is unknown and the command
/// is sent to the group's next member.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(2);

/// A log that forwards commands to groups without a local replica.
#[derive(Debug)]
pub struct RoutedLog {
    /// The log of the groups with a replica on this member.
    pub local: Arc<dyn Log>,
    /// Poll addresses of the members of each group without a replica here.
    pub remote: BTreeMap<GroupId, Vec<String>>,
    /// The client for calls to those members.
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
                // The command may have been committed. Sending it to the next
                // member is safe, since the ledger recognises a repeated command.
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

    fn propose_as_leader(
        &self,
        group: GroupId,
        command: Vec<u8>,
    ) -> BoxFuture<'_, Result<Vec<u8>, LogError>> {
        if self.remote.contains_key(&group) {
            return Box::pin(ready(Err(LogError::NoLeader)));
        }
        self.local.propose_as_leader(group, command)
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

//! A log in the memory of one process, for tests and benches of code that uses a
//! log.

use crate::core::{
    id::{GroupId, Index, Name},
    log::{Leader, Log, LogError, StateMachine},
    map::FastMap,
};
use futures::future::{BoxFuture, ready};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Commits each command at once, without a disk or other members.
#[derive(Debug, Default)]
pub struct MemLog {
    groups: Mutex<FastMap<GroupId, Group>>,
}

#[derive(Debug)]
struct Group {
    last: Index,
    machine: Box<dyn StateMachine>,
}

impl MemLog {
    /// Adds a group and its state machine. A group that was not added has no
    /// leader.
    pub fn add(&self, group: GroupId, machine: Box<dyn StateMachine>) {
        let last = Index::default();
        self.lock().insert(group, Group { last, machine });
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<GroupId, Group>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply(&self, group: GroupId, command: &[u8]) -> Result<Vec<u8>, LogError> {
        let mut groups = self.lock();
        let group = groups.get_mut(&group).ok_or(LogError::NoLeader)?;
        group.last = group.last.next();
        Ok(group.machine.apply(group.last, command))
    }
}

impl Log for MemLog {
    fn propose(
        &self,
        group: GroupId,
        command: Vec<u8>,
    ) -> BoxFuture<'_, Result<Vec<u8>, LogError>> {
        Box::pin(ready(self.apply(group, &command)))
    }

    fn propose_as_leader(
        &self,
        group: GroupId,
        command: Vec<u8>,
    ) -> BoxFuture<'_, Result<Vec<u8>, LogError>> {
        self.propose(group, command)
    }

    fn barrier(&self, group: GroupId) -> BoxFuture<'_, Result<Index, LogError>> {
        let last = self.lock().get(&group).map(|g| g.last);
        Box::pin(ready(last.ok_or(LogError::NoLeader)))
    }

    fn leader(&self, _group: GroupId) -> Leader {
        Leader {
            is_self: true,
            name: Some(Name::from("memory")),
        }
    }
}

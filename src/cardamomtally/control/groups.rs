//! Which replicated groups there are, and which members hold their replicas.

use crate::{
    core::id::GroupId,
    settings::control::{GroupSettings, LedgerSettings, MemberSettings},
};

/// A group and the members that hold its replicas.
#[derive(Clone, Debug)]
pub struct Group<'a> {
    /// Its number.
    pub id: GroupId,
    /// The members.
    pub members: Vec<&'a MemberSettings>,
}

/// Returns all groups: the configuration on every member, and each ledger shard
/// on as many members as the settings say, in rotation.
#[must_use]
pub fn all<'a>(settings: &'a GroupSettings, ledger: &LedgerSettings) -> Vec<Group<'a>> {
    let count = settings.members.len();
    let replicas = usize::from(ledger.replicas).clamp(1, count.max(1));
    let config = Group {
        id: GroupId::CONFIG,
        members: settings.members.iter().collect(),
    };
    let shard = |number: u16| {
        let first = usize::from(number - 1);
        let members = (0..replicas.min(count)).map(|i| &settings.members[(first + i) % count]);
        Group {
            id: GroupId(number),
            members: members.collect(),
        }
    };
    let shards = (1..=ledger.shards).map(shard);
    std::iter::once(config).chain(shards).collect()
}

//! Assignment of the replicated groups to the control members.
//!
//! The assignment is computed from the settings alone, so all members with the
//! same settings agree on it.

use crate::{
    core::id::GroupId,
    settings::control::{GroupSettings, LedgerSettings, MemberSettings},
};

/// A group and the members that hold its replicas.
#[derive(Clone, Debug)]
pub struct Group<'a> {
    /// The group's number: [`GroupId::CONFIG`], or the ledger shard's number from 1.
    pub id: GroupId,
    /// The members that hold a replica of the group.
    pub members: Vec<&'a MemberSettings>,
}

/// Returns all groups. The configuration group has a replica on every member.
/// Each ledger shard has `ledger.replicas` replicas (at least one, at most one
/// per member), and consecutive shards start at consecutive members, which
/// spreads the shards evenly.
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

//! Metrics of a member's part in its groups. They tell apart, from outside, a member whose
//! storage does not work, one without a vote, and a group without a majority.

use super::{GroupStatus, Suffrage, group::Group, links::Links};
use crate::prelude::*;
use metrics::gauge;

/// Sets the gauges of a group.
pub(super) fn set(group: &Group, links: &Links, now: Mono) {
    let status: GroupStatus = group.status(now, links);
    let (own, out) = (group.node.id(), group.out_for(now));
    let group = status.group.0.to_string();
    let voters = status.members.iter();
    let voters = voters.filter(|m| m.suffrage == Suffrage::Voter);
    let (mut count, mut heard, mut own_vote) = (0, 0, 0);
    for voter in voters {
        count += 1;
        let is_own = voter.id == own;
        heard += u32::from(is_own || links.hears(now, &voter.name, voter.id));
        own_vote |= u32::from(is_own);
    }
    let leader = status.leader.is_some();
    let working = !matches!(&*status.state, "failed" | "unrestored");
    gauge!("cardamomtally_replica_storage_out_seconds", "group" => group.clone())
        .set(out.as_secs_f64());
    gauge!("cardamomtally_replica_storage_works", "group" => group.clone()).set(u32::from(working));
    gauge!("cardamomtally_replica_votes", "group" => group.clone()).set(own_vote);
    gauge!("cardamomtally_replica_voters", "group" => group.clone()).set(count);
    gauge!("cardamomtally_replica_voters_heard", "group" => group.clone()).set(heard);
    gauge!("cardamomtally_replica_leader_known", "group" => group.clone()).set(u32::from(leader));
    gauge!("cardamomtally_replica_term", "group" => group.clone()).set(status.term.0 as f64);
    gauge!("cardamomtally_replica_commit_entries", "group" => group.clone())
        .set(status.commit.0 as f64);
    gauge!("cardamomtally_replica_last_entries", "group" => group).set(status.last.0 as f64);
}

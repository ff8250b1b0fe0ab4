//! Forming a group, adding new members, and replacing members whose disk was
//! wiped.
//!
//! A member that is in no group sends hellos to the addresses of all initial
//! members. When the first of these has heard from all others and none holds an
//! entry, it draws a cluster number and sends hellos that carry it. Another member
//! promises a number that is higher than the one it promised before, and
//! syncs the promise to its disk. The first member forms the group only after all
//! others have promised its number. An initial member without a disk declines, and
//! the others form the group without it: each of them waits for either a promise or
//! a refusal from every member that precedes or follows it. An earlier attempt to form the group can then
//! commit nothing, since its messages carry a lower number.
//!
//! The leader of an existing group adds a new member as a learner. Once the
//! learner holds all committed entries, the leader removes the silent member of
//! the same name, whose disk is lost, and then gives the learner a vote. Each of these
//! changes is one log entry, and the next one starts only after it is committed, so the
//! quorums of successive configurations always overlap.
//!
//! A silent voter of another name may be frozen or cut off, with all that it has
//! acknowledged on its disk. It is removed only while at least `2 * losses + 1` voters are
//! left: if `losses` of these lose their disks, the others are still a majority.

use super::{Newcomer, Node, Outgoing, Role, Rule, Sender};
use crate::{
    prelude::*,
    replica::{
        entry::{Member, Members, Payload},
        message::{Message, Packet},
    },
};
use rand::Rng as _;

/// Election timeouts without a message from a learner, after which the leader
/// removes it.
const LEARNER_SILENCE_ELECTIONS: u32 = 60;
/// Election timeouts without a message from a voter, after which the leader of an
/// open group may remove it, if the group has more voters than it must keep.
const VOTER_SILENCE_ELECTIONS: u32 = 3;

impl Node {
    /// Returns whether a message comes from another cluster, which happens when
    /// an address is reused. Hellos are accepted from any cluster.
    pub(super) fn is_other_cluster(&self, packet: &Packet) -> bool {
        let known = packet.cluster != 0 && self.hard.cluster != 0;
        let hello = matches!(packet.message, Message::Hello { .. });
        known && packet.cluster != self.hard.cluster && !hello
    }

    pub(super) fn is_addressed(&self, packet: &Packet) -> bool {
        let hello = matches!(packet.message, Message::Hello { .. });
        hello || packet.to == self.options.id || self.breaks(Rule::WipedIsNew)
    }

    /// Returns the identity to which a message is attributed: the sender's own,
    /// unless a test breaks [`Rule::WipedIsNew`].
    pub(super) fn sender(&self, packet: &Packet) -> MemberId {
        if !self.breaks(Rule::WipedIsNew) {
            return packet.from;
        }
        let voter = self.configs.voters().find(|m| m.name == packet.name);
        voter.map_or(packet.from, |m| m.id)
    }

    /// Records the sender as a newcomer if it is not in the configuration and may
    /// join.
    pub(super) fn record_newcomer(&mut self, now: Mono, from: MemberId, packet: &Packet) {
        let expected = self.options.open || self.options.members.contains(&packet.name);
        if !expected || self.configs.find(from).is_some() {
            return;
        }
        let newcomer = Newcomer {
            id: from,
            seen: now,
            empty: matches!(packet.message, Message::Hello { empty: true }),
            cluster: packet.cluster,
        };
        self.newcomers.insert(Arc::clone(&packet.name), newcomer);
    }

    /// Forwards the hello of a newcomer, or the vote request of a former voter, from a
    /// follower to the leader, since only the leader can add members. This is needed in
    /// open groups, where the sender may not know the leader's address. A voter that was
    /// removed while it was silent knows of its removal from nobody.
    pub(super) fn forward_hello(&mut self, packet: &Packet) {
        let asks = matches!(
            packet.message,
            Message::Hello { .. } | Message::RequestVote(_)
        );
        let follows = self.lifecycle.role() == Role::Follower;
        if !self.options.open || !asks || !follows || self.configs.find(packet.from).is_some() {
            return;
        }
        let leader = self.leader.and_then(|id| self.configs.find(id));
        let Some(name) = leader.map(|m| Arc::clone(&m.name)) else {
            return;
        };
        // A hello from a process of the leader's own name is not forwarded, since
        // it would go back to that process. A forwarded hello reaches the leader
        // over the connection of the forwarding member.
        if name != packet.name {
            let packet = packet.clone();
            self.effects.send.push(Outgoing { name, packet });
        }
    }

    /// Forms the group if all initial members are ready, and otherwise sends a hello to
    /// each of them. A learner that hears its leader does neither.
    pub(super) fn send_hellos(&mut self, now: Mono) {
        self.timer = now + self.options.heartbeat;
        if self.lifecycle.role() == Role::Learner && self.has_live_leader(now) {
            return;
        }
        if self.try_form_group(now) {
            return;
        }
        for name in self.options.members.clone() {
            if name != self.options.name {
                self.send_hello(&name);
            }
        }
    }

    fn send_hello(&mut self, name: &Name) {
        let empty = self.is_empty();
        self.send_synced(MemberId::default(), name, Message::Hello { empty });
    }

    /// Promises the cluster number that the first initial member drew.
    pub(super) fn on_hello(&mut self, now: Mono, from: &Sender, empty: bool) {
        let first = self.initial_members().next() == Some(&from.name);
        let joining = self.lifecycle.role() == Role::Joining && self.is_empty();
        if !self.options.form || !first || !joining || !empty || from.cluster <= self.hard.cluster {
            return;
        }
        self.hard.cluster = from.cluster;
        self.store_hard();
        self.send_hello(&from.name);
        self.timer = now + self.options.heartbeat;
    }

    /// Records that an initial member stores nothing, unless the group was formed.
    pub(super) fn on_decline(&mut self, name: &Name) {
        let initial = self.options.members.contains(name) && *name != self.options.name;
        if initial && self.is_empty() && self.declined.insert(Arc::clone(name)) {
            self.note(format!("{name} stores nothing and is no initial member"));
        }
    }

    /// Iterates over the members that form the group, in the order in which all of them
    /// list them.
    fn initial_members(&self) -> impl Iterator<Item = &Name> {
        let members = self.options.members.iter();
        members.filter(|name| !self.declined.contains(*name))
    }

    /// Returns whether this member holds no entry.
    fn is_empty(&self) -> bool {
        self.log.last() == Index::default()
    }

    /// Takes the next step towards forming the group, if this is the first
    /// initial member: draws a cluster number, or forms the group once all others
    /// have promised it. Returns whether the group is formed.
    fn try_form_group(&mut self, now: Mono) -> bool {
        let first = self.initial_members().next();
        if !self.options.form || first != Some(&self.options.name) || !self.is_empty() {
            return false;
        }
        let limit = self.options.election;
        let mut promised = Vec::new();
        for name in self.initial_members().skip(1) {
            let newcomer = self.newcomers.get(name);
            match newcomer.filter(|n| n.empty && now.since(n.seen) < limit) {
                Some(newcomer) => promised.push(newcomer.cluster),
                None => return false,
            }
        }
        let highest = promised.iter().copied().max().unwrap_or_default();
        if self.hard.cluster == 0 || highest > self.hard.cluster {
            self.choose_cluster(highest);
        }
        let own = self.hard.cluster;
        let formed = promised.into_iter().all(|cluster| cluster == own);
        if formed {
            self.form_group(now);
        }
        formed
    }

    /// Draws a cluster number higher than any that another member has promised.
    /// The upper 32 bits count attempts and the lower ones are random.
    fn choose_cluster(&mut self, above: u64) {
        let high = (above >> u32::BITS) + 1;
        let low: u32 = self.rng.random();
        self.hard.cluster = (high << u32::BITS) | u64::from(low);
        self.store_hard();
    }

    fn form_group(&mut self, now: Mono) {
        let members = self.initial_members().map(|name| {
            let id = self.newcomers.get(name).map(|n| n.id);
            Member {
                id: id.unwrap_or(self.options.id),
                name: Arc::clone(name),
                voter: true,
            }
        });
        let members: Members = members.collect();
        self.newcomers.clear();
        self.hard.term = Term(self.hard.term.0 + 1);
        self.hard.vote = Some(self.options.id);
        self.store_hard();
        self.append(Payload::Members(members));
        self.note("formed the group");
        self.campaign(now, false, false);
    }

    /// Makes the next membership change, if one is due and the last one is
    /// committed. The changes lead to one live voter for each name.
    pub(super) fn change_members(&mut self, now: Mono) {
        let Some(leader) = &self.leader_state else {
            return;
        };
        let settled = self.configs.since() <= self.commit && self.commit >= leader.first;
        if !settled {
            return;
        }
        let next = self
            .add_learner(now)
            .or_else(|| self.replace_voter(now))
            .or_else(|| self.drop_learner(now))
            .or_else(|| self.drop_voter(now));
        if let Some((members, note)) = next {
            self.append(Payload::Members(members));
            self.sync_peers(now);
            self.note(note);
        }
    }

    fn add_learner(&mut self, now: Mono) -> Option<(Members, String)> {
        let limit = self.options.election;
        let configs = &self.configs;
        // Drops newcomers that were not heard within the election timeout, and
        // those that the configuration has listed since they were recorded.
        self.newcomers
            .retain(|_, n| now.since(n.seen) < limit && configs.find(n.id).is_none());
        let (name, newcomer) = self.newcomers.pop_first()?;
        let members = self.configs.members().iter();
        let kept = members.filter(|m| m.voter || m.name != name).cloned();
        let learner = Member {
            id: newcomer.id,
            name: Arc::clone(&name),
            voter: false,
        };
        let members = kept.chain([learner]).collect();
        Some((
            members,
            format!("added {name} ({}) as learner", newcomer.id),
        ))
    }

    fn replace_voter(&self, now: Mono) -> Option<(Members, String)> {
        let learners = self.configs.members().iter().filter(|m| !m.voter);
        let mut ready = learners.filter(|m| self.is_ready(now, m));
        ready.find_map(|m| self.next_promotion_step(now, m))
    }

    /// Returns the next change that gives a learner its vote: first the removal
    /// of the voter of its name, whose disk is lost, then the promotion. Returns `None`
    /// while that voter still answers.
    fn next_promotion_step(&self, now: Mono, ready: &Member) -> Option<(Members, String)> {
        let members = self.configs.members();
        if let Some(old) = self.configs.voters().find(|m| m.name == ready.name) {
            if !self.is_silent(now, old.id, 1) {
                return None;
            }
            let kept = members.iter().filter(|m| m.id != old.id).cloned();
            let note = format!("removed {} ({}), which is gone", old.name, old.id);
            return Some((kept.collect(), note));
        }
        let promoted = members.iter().cloned().map(|m| Member {
            voter: m.voter || m.id == ready.id,
            ..m
        });
        let note = format!("{} ({}) votes", ready.name, ready.id);
        Some((promoted.collect(), note))
    }

    /// Returns the number of voters that the group keeps although some are silent.
    fn kept_voters(&self) -> usize {
        if self.breaks(Rule::KeepsVoters) {
            return self.options.members.len();
        }
        self.options.members.len().max(2 * self.options.losses + 1)
    }

    /// Removes a voter of an open group that has been silent for
    /// `VOTER_SILENCE_ELECTIONS`, if the group has more voters than it must keep. A
    /// smaller group has a smaller majority, so that it bears further losses, and a member
    /// that is gone for good leaves it once another has its vote.
    fn drop_voter(&self, now: Mono) -> Option<(Members, String)> {
        if !self.options.open || self.configs.voters().count() <= self.kept_voters() {
            return None;
        }
        let mut voters = self.configs.voters();
        let gone = voters.find(|m| self.is_silent(now, m.id, VOTER_SILENCE_ELECTIONS))?;
        let kept = self.configs.members().iter().filter(|m| m.id != gone.id);
        let note = format!("removed {} ({}), which is silent", gone.name, gone.id);
        Some((kept.cloned().collect(), note))
    }

    /// Returns whether a learner answers and holds all committed entries.
    fn is_ready(&self, now: Mono, learner: &Member) -> bool {
        let peer = self
            .leader_state
            .as_ref()
            .and_then(|l| l.peers.get(&learner.id));
        let complete = peer.is_some_and(|p| p.matched >= self.commit);
        complete && !self.is_silent(now, learner.id, 1)
    }

    fn is_silent(&self, now: Mono, id: MemberId, elections: u32) -> bool {
        let peer = self.leader_state.as_ref().and_then(|l| l.peers.get(&id));
        let limit = self.options.election * elections;
        id != self.options.id && peer.is_none_or(|p| now.since(p.heard) >= limit)
    }

    fn drop_learner(&self, now: Mono) -> Option<(Members, String)> {
        let members = self.configs.members();
        let gone = members
            .iter()
            .find(|m| !m.voter && self.is_silent(now, m.id, LEARNER_SILENCE_ELECTIONS))?;
        let kept = members.iter().filter(|m| m.id != gone.id).cloned();
        let note = format!("dropped learner {} ({})", gone.name, gone.id);
        Some((kept.collect(), note))
    }
}

//! Elections: pre-vote, vote, and the check by which a leader without a quorum
//! steps down.

use super::{Campaign, Node, Role, Sender, leader::LeaderState};
use crate::{
    prelude::*,
    replica::{
        entry::Payload,
        message::{Message, RequestVote},
    },
};
use rand::Rng as _;

impl Node {
    /// Acts on an expired timer of a member that is not the leader: a member
    /// without a vote sends hellos, a voter starts a pre-vote.
    pub(super) fn on_timer(&mut self, now: Mono) {
        match self.lifecycle.role() {
            Role::Joining | Role::Learner => self.send_hellos(now),
            Role::Follower | Role::Candidate => self.campaign(now, true, false),
            Role::Leader | Role::Failed | Role::Stopped | Role::Unrestored => {}
        }
    }

    /// Starts an election and asks all other voters for their votes. In a
    /// pre-vote the member asks whether it would win the next term, without
    /// changing its own term; `transfer` marks an election that the leader itself
    /// asked for.
    pub(super) fn campaign(&mut self, now: Mono, pre_vote: bool, transfer: bool) {
        self.note_lost_election(pre_vote);
        self.lifecycle.start_election();
        self.leader = None;
        self.schedule_retry(now);
        if !pre_vote {
            self.hard.term = Term(self.hard.term.0 + 1);
            self.hard.vote = Some(self.options.id);
            self.store_hard();
        }
        self.campaign = Some(Campaign {
            pre_vote,
            votes: FastSet::default(),
            vote_seq: self.pending_seq(),
        });
        let request = RequestVote {
            term: Term(self.hard.term.0 + u64::from(pre_vote)),
            last: self.log.last(),
            last_term: self.log.last_term(),
            pre_vote,
            transfer,
        };
        let members = Arc::clone(self.configs.members());
        let own = self.options.id;
        for member in members.iter().filter(|m| m.voter && m.id != own) {
            let message = Message::RequestVote(request);
            if pre_vote {
                self.send(member.id, &member.name, message);
            } else {
                self.send_synced(member.id, &member.name, message);
            }
        }
        self.count_votes(now);
    }

    /// Counts the pre-votes since the last leader, and notes the 4th, the 8th, the 16th and
    /// so on, so that a group without a majority says so at a bounded rate.
    fn note_lost_election(&mut self, pre_vote: bool) {
        if !pre_vote {
            return;
        }
        let granted = self.campaign.as_ref().map_or(0, |c| c.votes.len());
        self.elections = self.elections.saturating_add(1);
        if self.elections >= 4 && self.elections.is_power_of_two() {
            let voters = self.configs.voters().count();
            let others = voters.saturating_sub(1);
            self.note(format!(
                "no leader after {} elections: {granted} of {others} other voters granted the last one; the log ends at {} of term {}",
                self.elections,
                self.log.last(),
                self.log.last_term().0,
            ));
        }
    }

    /// Sets the time of the next attempt, in case this election fails. It comes sooner
    /// than a first election would, and at a random time so that two candidates do not
    /// split the votes again.
    fn schedule_retry(&mut self, now: Mono) {
        let election = self.options.election.as_micros() as u64;
        let delay = self.rng.random_range(election / 4..=election);
        self.timer = now + Duration::from_micros(delay);
    }

    pub(super) fn on_request_vote(&mut self, now: Mono, from: &Sender, request: RequestVote) {
        if !request.transfer && self.has_live_leader(now) {
            return;
        }
        if !request.pre_vote && request.term > self.hard.term {
            self.adopt_term(request.term);
        }
        let granted = self.grants_vote(from.id, request);
        if granted && !request.pre_vote {
            self.hard.vote = Some(from.id);
            self.adopt_cluster(from.cluster);
            self.store_hard();
            self.reset_timer(now);
        }
        let term = if granted {
            request.term
        } else {
            self.hard.term
        };
        let message = Message::VoteReply {
            term,
            pre_vote: request.pre_vote,
            granted,
        };
        self.send_synced(from.id, &from.name, message);
    }

    /// Returns whether this member leads or has heard a leader within the election
    /// timeout. Such a member ignores vote requests, since a candidate that has only
    /// lost its own connection would otherwise depose a working leader.
    pub(super) fn has_live_leader(&self, now: Mono) -> bool {
        let recently = |heard| now.since(heard) < self.options.election;
        self.leader_state.is_some() || self.heard.is_some_and(recently)
    }

    fn grants_vote(&self, candidate: MemberId, request: RequestVote) -> bool {
        let own = (self.log.last_term(), self.log.last());
        let complete = (request.last_term, request.last) >= own;
        if request.pre_vote {
            return complete && request.term > self.hard.term;
        }
        let free = self.hard.vote.is_none_or(|vote| vote == candidate);
        complete && free && request.term == self.hard.term
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: Mono,
        from: &Sender,
        term: Term,
        pre_vote: bool,
        granted: bool,
    ) {
        if !granted {
            if term > self.hard.term {
                self.adopt_term(term);
            }
            return;
        }
        let Some(campaign) = &mut self.campaign else {
            return;
        };
        let expected = Term(self.hard.term.0 + u64::from(pre_vote));
        if campaign.pre_vote == pre_vote && term == expected {
            campaign.votes.insert(from.id);
            self.count_votes(now);
        }
    }

    /// Ends the election if a quorum has granted its votes: a won pre-vote starts
    /// the real vote, a won vote makes this member the leader. This member's own
    /// vote counts once it is synced.
    pub(super) fn count_votes(&mut self, now: Mono) {
        let Some(campaign) = &self.campaign else {
            return;
        };
        let own = self.options.id;
        let own_counts = campaign.pre_vote || campaign.vote_seq <= self.synced;
        let votes = self.configs.voters().filter(|m| {
            let is_own = m.id == own && own_counts;
            is_own || campaign.votes.contains(&m.id)
        });
        if votes.count() < self.configs.quorum() {
            return;
        }
        if campaign.pre_vote {
            self.campaign(now, false, false);
        } else {
            self.become_leader(now);
        }
    }

    fn become_leader(&mut self, now: Mono) {
        self.campaign = None;
        self.elections = 0;
        self.lifecycle.elect();
        self.leader = Some(self.options.id);
        let first = self.log.last().next();
        self.leader_state = Some(LeaderState::new(first, now));
        self.sync_peers(now);
        self.append(Payload::Empty);
        self.note(format!("elected leader of term {}", self.hard.term.0));
    }

    /// Steps down if no quorum of voters has answered within the election
    /// timeout.
    pub(super) fn check_quorum(&mut self, now: Mono) {
        let Some(leader) = &self.leader_state else {
            return;
        };
        let limit = self.options.election;
        let own = self.options.id;
        let active = self.configs.voters().filter(|m| {
            let peer = leader.peers.get(&m.id);
            m.id == own || peer.is_some_and(|p| now.since(p.heard) < limit)
        });
        if active.count() < self.configs.quorum() {
            self.step_down();
            self.reset_timer(now);
            self.note("stepped down; no quorum answers");
        }
    }

    /// Ends leadership and candidature, and adopts a term that is higher than
    /// this member's.
    pub(super) fn adopt_term(&mut self, term: Term) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
            self.store_hard();
            self.leader = None;
        }
        self.step_down();
    }

    fn step_down(&mut self) {
        self.lifecycle.depose();
        self.campaign = None;
        if self.leader_state.is_some() {
            self.clear_leader_state();
            self.leader = None;
        }
    }

    pub(super) fn on_timeout_now(&mut self, now: Mono, term: Term) {
        let voter = self.configs.find(self.options.id).is_some_and(|m| m.voter);
        if voter && term == self.hard.term && self.leader_state.is_none() {
            self.campaign(now, false, true);
        }
    }
}

//! Elections: pre-vote, vote, and the step down of a leader without a quorum.

use super::{Campaign, Node, Part, Sender, lead::Lead};
use crate::{
    prelude::*,
    replica::{
        entry::Payload,
        message::{Ballot, Message},
    },
};
use rand::Rng as _;

impl Node {
    /// Acts on the timer of a member that does not lead.
    pub(super) fn on_timer(&mut self, now: Mono) {
        match self.life.part() {
            Part::Joining | Part::Learner => self.say_hello(now),
            Part::Follower | Part::Candidate => self.campaign(now, true, false),
            Part::Leader | Part::Failed | Part::Stopped => {}
        }
    }

    /// Stands for election. A trial asks whether votes would be given.
    pub(super) fn campaign(&mut self, now: Mono, trial: bool, handover: bool) {
        self.life.stand();
        self.leader = None;
        self.retry_soon(now);
        if !trial {
            self.hard.term = Term(self.hard.term.0 + 1);
            self.hard.vote = Some(self.options.id);
            self.store_hard();
        }
        self.campaign = Some(Campaign {
            trial,
            votes: FastSet::default(),
            own: self.open_seq(),
        });
        let ballot = Ballot {
            term: Term(self.hard.term.0 + u64::from(trial)),
            last: self.log.last(),
            last_term: self.log.last_term(),
            trial,
            handover,
        };
        let members = Arc::clone(self.configs.members());
        let own = self.options.id;
        for member in members.iter().filter(|m| m.voter && m.id != own) {
            let message = Message::Vote(ballot);
            if trial {
                self.send(member.id, &member.name, message);
            } else {
                self.send_synced(member.id, &member.name, message);
            }
        }
        self.count_votes(now);
    }

    /// A failed attempt is repeated sooner than a first one is made, at a random
    /// moment so that candidates do not collide again.
    fn retry_soon(&mut self, now: Mono) {
        let election = self.options.election.as_micros() as u64;
        let delay = self.rng.random_range(election / 4..=election);
        self.timer = now + Duration::from_micros(delay);
    }

    pub(super) fn on_vote(&mut self, now: Mono, from: &Sender, ballot: Ballot) {
        if !ballot.handover && self.hears_leader(now) {
            return;
        }
        if !ballot.trial && ballot.term > self.hard.term {
            self.follow_term(ballot.term);
        }
        let granted = self.grants(from.id, ballot);
        if granted && !ballot.trial {
            self.hard.vote = Some(from.id);
            self.adopt_cluster(from.cluster);
            self.store_hard();
            self.reset_timer(now);
        }
        let term = if granted { ballot.term } else { self.hard.term };
        let message = Message::Voted {
            term,
            trial: ballot.trial,
            granted,
        };
        self.send_synced(from.id, &from.name, message);
    }

    /// Tells whether a leader is at work, so that a candidate only disturbs.
    pub(super) fn hears_leader(&self, now: Mono) -> bool {
        let recently = |heard| now.since(heard) < self.options.election;
        self.lead.is_some() || self.heard.is_some_and(recently)
    }

    fn grants(&self, candidate: MemberId, ballot: Ballot) -> bool {
        let own = (self.log.last_term(), self.log.last());
        let complete = (ballot.last_term, ballot.last) >= own;
        if ballot.trial {
            return complete && ballot.term > self.hard.term;
        }
        let free = self.hard.vote.is_none_or(|vote| vote == candidate);
        complete && free && ballot.term == self.hard.term
    }

    pub(super) fn on_voted(
        &mut self,
        now: Mono,
        from: &Sender,
        term: Term,
        trial: bool,
        granted: bool,
    ) {
        if !granted {
            if term > self.hard.term {
                self.follow_term(term);
            }
            return;
        }
        let Some(campaign) = &mut self.campaign else {
            return;
        };
        let expected = Term(self.hard.term.0 + u64::from(trial));
        if campaign.trial == trial && term == expected {
            campaign.votes.insert(from.id);
            self.count_votes(now);
        }
    }

    /// Ends the election if a quorum has voted for this member.
    pub(super) fn count_votes(&mut self, now: Mono) {
        let Some(campaign) = &self.campaign else {
            return;
        };
        let own = self.options.id;
        let own_counts = campaign.trial || campaign.own <= self.synced;
        let votes = self.configs.voters().filter(|m| {
            let is_own = m.id == own && own_counts;
            is_own || campaign.votes.contains(&m.id)
        });
        if votes.count() < self.configs.quorum() {
            return;
        }
        if campaign.trial {
            self.campaign(now, false, false);
        } else {
            self.take_lead(now);
        }
    }

    fn take_lead(&mut self, now: Mono) {
        self.campaign = None;
        self.life.elect();
        self.leader = Some(self.options.id);
        let first = self.log.last().next();
        self.lead = Some(Lead::new(first, now));
        self.sync_peers(now);
        self.append(Payload::Empty);
        self.note(format!("elected leader of term {}", self.hard.term.0));
    }

    /// Steps down if a quorum has been silent.
    pub(super) fn check_quorum(&mut self, now: Mono) {
        let Some(lead) = &self.lead else {
            return;
        };
        let limit = self.options.election;
        let own = self.options.id;
        let active = self.configs.voters().filter(|m| {
            let peer = lead.peers.get(&m.id);
            m.id == own || peer.is_some_and(|p| now.since(p.heard) < limit)
        });
        if active.count() < self.configs.quorum() {
            self.depose();
            self.reset_timer(now);
            self.note("stepped down; no quorum answers");
        }
    }

    /// Ends leadership and candidature, and moves on to a higher term.
    pub(super) fn follow_term(&mut self, term: Term) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
            self.store_hard();
            self.leader = None;
        }
        self.depose();
    }

    fn depose(&mut self) {
        self.life.depose();
        self.campaign = None;
        if self.lead.is_some() {
            self.leave_lead();
            self.leader = None;
        }
    }

    pub(super) fn on_stand(&mut self, now: Mono, term: Term) {
        let voter = self.configs.find(self.options.id).is_some_and(|m| m.voter);
        if voter && term == self.hard.term && self.lead.is_none() {
            self.campaign(now, false, true);
        }
    }
}

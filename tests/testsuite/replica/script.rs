//! Scripted message exchanges between three voters and a learner, for orders of
//! events that random faults rarely produce.

use cardamomtally::{
    prelude::*,
    replica::{
        entry::{Entry, HardState, Member, Members, Payload},
        message::Message,
        node::{Node, NodeOptions, Outgoing, Role, Rule},
        storage::Loaded,
    },
};
use std::collections::BTreeMap;

/// Size of a command that exceeds the limit of one message, so that it is sent
/// without other entries.
const LARGE_BYTES: usize = 300 << 10;

/// Three voters and a learner, whose disks sync at once.
struct Script {
    nodes: Vec<Node>,
    now: Mono,
    undelivered: Vec<Outgoing>,
    applied: Vec<Entry>,
}

impl Script {
    fn new(broken: Option<Rule>) -> Self {
        let member = |i: u64| Member {
            id: MemberId(i + 1),
            name: Name::from(format!("c{i}")),
            voter: i < 3,
        };
        let members: Members = (0..4).map(member).collect();
        let names: Vec<Name> = members.iter().map(|m| Arc::clone(&m.name)).collect();
        let loaded = Loaded {
            hard: HardState {
                term: Term(1),
                vote: None,
                cluster: 7,
            },
            snapshot: None,
            entries: vec![Entry {
                index: Index(1),
                term: Term(1),
                payload: Payload::Members(Arc::clone(&members)),
            }],
        };
        let node = |m: &Member| {
            let options = NodeOptions {
                id: m.id,
                name: Arc::clone(&m.name),
                members: names.clone(),
                broken,
                ..NodeOptions::default()
            };
            Node::new(options, loaded.clone(), Mono::default()).unwrap()
        };
        Self {
            nodes: members.iter().map(node).collect(),
            now: Mono::default(),
            undelivered: Vec::new(),
            applied: Vec::new(),
        }
    }

    fn flush(&mut self, i: usize) {
        for _ in 0..2 {
            let effects = self.nodes[i].flush(self.now);
            self.undelivered.extend(effects.send);
            self.applied.extend(effects.apply);
            self.nodes[i].synced(self.now, effects.seq);
        }
    }

    /// Delivers the messages of one node to another that satisfy `pass`. All
    /// other messages of the sender are lost.
    fn deliver(&mut self, from: usize, to: usize, pass: impl Fn(&Message) -> bool) {
        let sender = self.nodes[from].id();
        let receiver = Name::from(format!("c{to}"));
        let sent = self.undelivered.extract_if(.., |o| o.packet.from == sender);
        let sent: Vec<Outgoing> = sent.collect();
        for outgoing in sent {
            if outgoing.name == receiver && pass(&outgoing.packet.message) {
                self.nodes[to].receive(self.now, outgoing.packet);
            }
        }
        self.flush(to);
    }

    /// Lets a node win an election with the vote of one other node. Their other
    /// messages are lost.
    fn elect(&mut self, candidate: usize, voter: usize) {
        let is_vote =
            |m: &Message| matches!(m, Message::RequestVote(_) | Message::VoteReply { .. });
        // If the candidate still leads, it steps down first, since no member
        // answers it.
        self.now = self.now + Duration::from_secs(2);
        self.nodes[candidate].tick(self.now);
        while self.nodes[candidate].role() != Role::Leader {
            self.now = self.now + Duration::from_secs(2);
            self.nodes[candidate].tick(self.now);
            self.nodes[candidate].tick(self.now);
            self.flush(candidate);
            for _ in 0..2 {
                self.deliver(candidate, voter, is_vote);
                self.deliver(voter, candidate, is_vote);
            }
        }
        self.undelivered.clear();
    }

    /// Returns whether two different entries were applied at one index.
    fn conflicts(&self) -> bool {
        let mut chosen = BTreeMap::new();
        self.applied.iter().any(|e| {
            let known = chosen.entry(e.index).or_insert(e);
            *known != e
        })
    }
}

/// A leader replicates an entry of an earlier term to a quorum. Another member,
/// whose log has an entry of a later term at that index, is then elected and
/// replaces it.
fn old_entry_on_a_quorum(broken: Option<Rule>) -> Script {
    let mut script = Script::new(broken);
    script.elect(0, 2);
    script.nodes[0].propose(vec![0; LARGE_BYTES]).unwrap();
    script.flush(0);
    script.elect(1, 2);
    script.undelivered.clear();
    script.elect(0, 2);
    // These exchanges replicate the first of the old entries, but not the large
    // command after it.
    script.nodes[0].tick(script.now + Duration::from_millis(100));
    script.now = script.now + Duration::from_millis(100);
    script.flush(0);
    for _ in 0..2 {
        script.deliver(0, 2, |_| true);
        script.deliver(2, 0, |_| true);
    }
    script.undelivered.clear();
    script.elect(1, 2);
    for _ in 0..8 {
        script.now = script.now + Duration::from_millis(100);
        script.flush(1);
        script.deliver(1, 2, |_| true);
        script.deliver(2, 1, |_| true);
    }
    script
}

#[test]
fn an_entry_of_an_old_term_is_not_committed_by_counting() {
    let script = old_entry_on_a_quorum(None);

    assert!(!script.conflicts(), "{:?}", script.applied);
    assert!(script.nodes[1].commit() > Index(1));
}

#[test]
fn checks_catch_a_commit_by_an_old_term() {
    let script = old_entry_on_a_quorum(Some(Rule::OwnTermCommits));

    assert!(script.conflicts());
}

/// A leader replicates its entries to the learner only, and the other voters
/// elect a new leader.
fn entries_on_a_learner(broken: Option<Rule>) -> Script {
    let mut script = Script::new(broken);
    script.elect(0, 2);
    script.nodes[0].propose(vec![1]).unwrap();
    for _ in 0..4 {
        script.now = script.now + Duration::from_millis(100);
        script.flush(0);
        script.deliver(0, 3, |_| true);
        script.deliver(3, 0, |_| true);
    }
    script.undelivered.clear();
    script.elect(1, 2);
    for _ in 0..4 {
        script.now = script.now + Duration::from_millis(100);
        script.flush(1);
        script.deliver(1, 2, |_| true);
        script.deliver(2, 1, |_| true);
    }
    script
}

#[test]
fn a_learner_does_not_count_in_a_quorum() {
    let script = entries_on_a_learner(None);

    assert!(!script.conflicts(), "{:?}", script.applied);
    assert_eq!(script.nodes[0].commit(), Index::default());
    assert!(script.nodes[1].commit() > Index(1));
}

#[test]
fn checks_catch_a_learner_that_counts() {
    let script = entries_on_a_learner(Some(Rule::LearnersDoNotCount));

    assert!(script.conflicts());
}

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
    options: Vec<NodeOptions>,
    nodes: Vec<Node>,
    disks: Vec<Loaded>,
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
        let options = members.iter().map(|m| NodeOptions {
            id: m.id,
            name: Arc::clone(&m.name),
            members: names.clone(),
            broken,
            ..NodeOptions::default()
        });
        let options: Vec<NodeOptions> = options.collect();
        let node = |options: &NodeOptions| {
            Node::new(options.clone(), loaded.clone(), Mono::default()).unwrap()
        };
        Self {
            nodes: options.iter().map(node).collect(),
            disks: vec![loaded.clone(); options.len()],
            options,
            now: Mono::default(),
            undelivered: Vec::new(),
            applied: Vec::new(),
        }
    }

    fn flush(&mut self, i: usize) {
        for _ in 0..2 {
            let effects = self.nodes[i].flush(self.now);
            for write in &effects.writes {
                self.disks[i].apply(write);
            }
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

    /// Delivers the entries of one node to another, whose write of them fails and whose
    /// storage is then reopened.
    fn deliver_and_fail_write(&mut self, from: usize, to: usize) {
        let sender = self.nodes[from].id();
        let receiver = Name::from(format!("c{to}"));
        let sent = self.undelivered.extract_if(.., |o| o.packet.from == sender);
        for outgoing in sent.filter(|o| o.name == receiver) {
            self.nodes[to].receive(self.now, outgoing.packet);
        }
        let refused = self.nodes[to].flush(self.now).writes;
        assert!(!refused.is_empty());
        self.nodes[to].fail();
        let id = self.nodes[to].id();
        assert!(self.nodes[to].reopen(id, self.disks[to].clone(), self.now));
        self.flush(to);
    }

    fn restart(&mut self, i: usize) {
        let (options, disk) = (self.options[i].clone(), self.disks[i].clone());
        self.nodes[i] = Node::new(options, disk, self.now).unwrap();
    }

    /// Exchanges messages between a leader and a follower for some heartbeats.
    fn exchange(&mut self, leader: usize, follower: usize) {
        for _ in 0..8 {
            self.now = self.now + Duration::from_millis(100);
            self.nodes[leader].tick(self.now);
            self.flush(leader);
            self.deliver(leader, follower, |_| true);
            self.deliver(follower, leader, |_| true);
        }
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

/// A follower whose write of an entry failed is reopened, and restarts after the leader has
/// counted its acknowledgements. It is then elected without the former leader.
fn entry_whose_write_failed(broken: Option<Rule>) -> Script {
    let mut script = Script::new(broken);
    script.elect(0, 2);
    script.exchange(0, 2);
    script.nodes[0].propose(vec![1]).unwrap();
    script.flush(0);
    script.deliver_and_fail_write(0, 2);
    script.exchange(0, 2);
    assert!(script.nodes[0].commit() >= Index(3));
    script.restart(2);
    script.undelivered.clear();
    script.elect(2, 1);
    script.exchange(2, 1);
    script
}

#[test]
fn an_entry_whose_write_failed_is_stored_before_it_counts() {
    let script = entry_whose_write_failed(None);

    assert!(!script.conflicts(), "{:?}", script.applied);
    assert!(script.nodes[2].commit() > Index(3));
}

#[test]
fn checks_catch_a_reopened_member_that_counts_what_is_not_stored() {
    let script = entry_whose_write_failed(Some(Rule::ReopenedIsLoaded));

    assert!(script.conflicts());
}

/// Guards against a state machine that goes back, or gets an entry twice, when a member is
/// reopened with less than it has applied.
#[test]
fn what_was_applied_stays_applied_when_the_storage_holds_less() {
    let mut script = Script::new(None);
    let empty = script.disks[2].clone();
    script.elect(0, 2);
    script.nodes[0].propose(vec![1]).unwrap();
    script.exchange(0, 2);
    let applied = script.nodes[2].applied();
    script.applied.clear();

    script.nodes[2].fail();
    let disk = Loaded {
        hard: script.disks[2].hard,
        ..empty
    };
    let id = script.nodes[2].id();
    script.nodes[2].reopen(id, disk, script.now);
    let effects = script.nodes[2].flush(script.now);

    assert!(applied >= Index(3));
    assert_eq!(script.nodes[2].applied(), applied);
    assert!(effects.apply.is_empty() && effects.restore.is_none());
    assert!(!script.nodes[2].may_compact(applied));
}

/// Guards against a control thread that never waits while a member takes no part, since its
/// election timer has expired and nothing sets it.
#[test]
fn a_member_whose_write_failed_asks_for_no_time_that_has_passed() {
    let mut script = Script::new(None);
    script.nodes[2].fail();
    script.now = script.now + Duration::from_secs(5);

    script.nodes[2].tick(script.now);

    assert!(script.nodes[2].deadline(script.now) > script.now);
}

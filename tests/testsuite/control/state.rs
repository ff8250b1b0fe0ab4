//! The state machine: ticket numbers, ownership, orders, suspects and suspensions.

use cardamomtally::{
    control::{
        machine::{Machine, Store},
        state::{Command, Reply, State},
        ticket,
    },
    core::{
        config::{Accepted, Config, Suspension, VersionId},
        log::StateMachine as _,
        order::{Action, Order},
    },
    net::{codec, wire::CrashReport},
    prelude::*,
    settings::control::Numbering,
};

const KEY: &str = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

/// Returns a ticket with a workspace that uses both versions of a model.
fn first_ticket(partner: &str, number: u64) -> String {
    let key = cardamomtally::core::snapshot::hash_secret(partner);
    format!(
        r#"partner = "{partner}"
number = {number}
[[data_centre]]
name = "glasgow"
region = "scot-central"
state = "in"
[[backend_server]]
name = "{partner}-e1"
state = "in"
data_centre = "glasgow"
agent = "127.0.0.1:{port}"
versions = ["draft@1"]
[[version]]
name = "draft@1"
cost = 0.2
stage = "in-service"
[[version]]
name = "draft@2"
cost = 0.4
stage = "in-service"
[[workspace]]
name = "counter"
keys = ["{key}"]
versions = ["draft@1", "draft@2"]
"#,
        port = 7_000 + partner.len()
    )
}

fn ticket_text(partner: &str, number: u64, rest: &str) -> String {
    format!("partner = \"{partner}\"\nnumber = {number}\n{rest}")
}

/// A configuration group's state machine, which applies each command at the next
/// log index.
struct Group {
    state: State,
    index: Index,
    numbering: Numbering,
}

impl Group {
    fn new(numbering: Numbering) -> Self {
        Self {
            state: State::default(),
            index: Index(0),
            numbering,
        }
    }

    /// Builds a group in which ticket 1 of partner `clyde` is in force.
    fn with_first_ticket() -> Self {
        let mut group = Self::new(Numbering::PerPartner);
        let reply = group.submit(&first_ticket("clyde", 1));
        assert!(matches!(reply, Reply::Accepted { .. }), "{reply:?}");
        group
    }

    fn apply(&mut self, command: Command) -> Reply {
        self.index = self.index.next();
        self.state.apply(self.index, command)
    }

    fn submit(&mut self, text: &str) -> Reply {
        let ticket = ticket::check("test", text, None).unwrap();
        self.apply(Command::Ticket {
            ticket: Box::new(ticket),
            text: text.to_owned(),
            numbering: self.numbering,
        })
    }

    fn config(&self) -> &Config {
        &self.state.config
    }

    fn orders(&self, backend: &str) -> Vec<Order> {
        let orders = self.config().orders.get(backend);
        orders.cloned().unwrap_or_default()
    }
}

fn accepted(reply: &Reply) -> Accepted {
    match reply {
        Reply::Accepted { accepted, .. } => *accepted,
        other => panic!("not accepted: {other:?}"),
    }
}

fn faults(reply: &Reply) -> Vec<String> {
    match reply {
        Reply::Faulty(faults) => faults.iter().map(|f| f.message.clone()).collect(),
        other => panic!("not faulty: {other:?}"),
    }
}

#[test]
fn the_same_ticket_gets_the_first_answer_again() {
    let mut group = Group::with_first_ticket();
    let before = group.config().clone();

    let again =
        group.submit(&first_ticket("clyde", 1).replace("cost = 0.2", "cost =    0.2 # same"));

    let Reply::Accepted { accepted, repeated } = again else {
        panic!("{again:?}");
    };
    assert!(repeated);
    assert_eq!(accepted.index, Index(1));
    assert_eq!(group.config(), &before);
}

#[test]
fn the_same_number_with_other_content_names_the_winner() {
    let mut group = Group::with_first_ticket();
    let winner = group.config().partners["clyde"].ticket;
    let before = group.config().clone();

    let reply = group.submit(&first_ticket("clyde", 1).replace("cost = 0.2", "cost = 0.3"));

    let partner = Name::from("clyde");
    assert_eq!(reply, Reply::Conflict { winner, partner });
    assert_eq!(group.config(), &before);
}

#[test]
fn a_lower_number_is_superseded() {
    let mut group = Group::new(Numbering::PerPartner);
    let by = accepted(&group.submit(&first_ticket("clyde", 5)));

    let reply = group.submit(&ticket_text("clyde", 4, ""));

    let partner = Name::from("clyde");
    assert_eq!(reply, Reply::Superseded { by, partner });
}

#[test]
fn an_older_ticket_still_gets_its_first_answer() {
    let mut group = Group::with_first_ticket();
    accepted(&group.submit(&ticket_text("clyde", 2, "")));

    let again = group.submit(&first_ticket("clyde", 1));

    assert_eq!(accepted(&again).index, Index(1));
}

#[test]
fn partners_are_numbered_separately_by_default() {
    let mut group = Group::with_first_ticket();

    let reply = group.submit(&first_ticket("prairie", 1));

    assert_eq!(accepted(&reply).number, 1);
}

#[test]
fn a_shared_sequence_has_one_winner_for_each_number() {
    let mut group = Group::new(Numbering::Shared);
    let winner = accepted(&group.submit(&first_ticket("clyde", 3)));
    let partner = Name::from("clyde");

    let same = group.submit(&first_ticket("prairie", 3));
    let lower = group.submit(&first_ticket("prairie", 2));
    let higher = group.submit(&first_ticket("prairie", 4));

    let by = winner;
    assert_eq!(
        same,
        Reply::Conflict {
            winner,
            partner: Name::clone(&partner)
        }
    );
    assert_eq!(lower, Reply::Superseded { by, partner });
    assert_eq!(accepted(&higher).number, 4);
}

#[test]
fn a_member_with_another_numbering_accepts_nothing() {
    let mut group = Group::with_first_ticket();
    group.numbering = Numbering::Shared;

    let reply = group.submit(&ticket_text("clyde", 2, ""));

    assert_eq!(reply, Reply::NumberingMismatch(Numbering::PerPartner));
}

#[test]
fn a_faulty_ticket_changes_nothing_and_takes_no_number() {
    let mut group = Group::with_first_ticket();
    let before = group.config().clone();

    let reply = group.submit(&ticket_text(
        "clyde",
        2,
        "[[cascade]]\nname = \"c\"\nsteps = [\"draft@9\"]\n",
    ));
    let next = group.submit(&ticket_text("clyde", 2, ""));

    assert_eq!(
        faults(&reply),
        ["no version `draft@9` is in this ticket or in force"]
    );
    assert_eq!(before.index, Index(1));
    assert_eq!(accepted(&next).index, Index(3));
}

#[test]
fn a_workspace_keeps_a_version_that_can_serve() {
    let mut group = Group::with_first_ticket();
    let withdraw = "[[version]]\nname = \"draft@1\"\ncost = 0.2\nstage = \"withdrawn\"\n\
                    [[version]]\nname = \"draft@2\"\ncost = 0.4\nstage = \"withdrawn\"\n";

    let reply = group.submit(&ticket_text("clyde", 2, withdraw));

    assert_eq!(
        faults(&reply),
        ["workspace `counter` would be left without a version that can serve"]
    );
}

#[test]
fn a_partner_cannot_move_another_partners_backend_server() {
    let mut group = Group::with_first_ticket();
    accepted(&group.submit(&first_ticket("prairie", 1)));
    let text = "[[backend_server]]\nname = \"clyde-e1\"\nstate = \"in\"\n\
                data_centre = \"glasgow\"\nagent = \"127.0.0.1:9\"\n";

    let reply = group.submit(&ticket_text("prairie", 2, text));

    assert_eq!(
        faults(&reply),
        ["the site of backend server `clyde-e1` belongs to partner `clyde`"]
    );
}

#[test]
fn a_key_belongs_to_one_workspace() {
    let mut group = Group::with_first_ticket();
    let key = cardamomtally::core::snapshot::hash_secret("clyde");
    let text = first_ticket("prairie", 1)
        .replace(&cardamomtally::core::snapshot::hash_secret("prairie"), &key);

    let reply = group.submit(&text);

    assert_eq!(
        faults(&reply),
        ["workspace `clyde/counter` has this key too"]
    );
}

#[test]
fn a_shared_object_is_in_service_while_no_partner_has_it_out() {
    let mut group = Group::with_first_ticket();
    accepted(&group.submit(&first_ticket("prairie", 1)));
    let state = |state: &str| {
        format!(
            "[[data_centre]]\nname = \"glasgow\"\nregion = \"scot-central\"\nstate = \"{state}\"\n"
        )
    };
    let in_service = |group: &Group| {
        let snapshot = Snapshot::compile(group.config());
        let centre = snapshot.centre("glasgow").unwrap();
        snapshot.centres[centre].in_service
    };

    accepted(&group.submit(&ticket_text("prairie", 2, &state("out"))));
    let out = in_service(&group);
    accepted(&group.submit(&ticket_text("clyde", 2, &state("in"))));
    let still_out = in_service(&group);
    accepted(&group.submit(&ticket_text("prairie", 3, &state("in"))));

    assert!(!out && !still_out);
    assert!(in_service(&group));
}

#[test]
fn orders_follow_what_tickets_list_and_carry_their_index() {
    let mut group = Group::with_first_ticket();
    let list =
        "[[backend_server]]\nname = \"clyde-e1\"\nstate = \"in\"\nversions = [\"draft@2\"]\n";

    let loaded = group.orders("clyde-e1");
    accepted(&group.submit(&ticket_text("clyde", 2, list)));

    let load = |version: &str| Action::Load {
        version: version.into(),
    };
    let order = |fence, action| Order { fence, action };
    assert_eq!(loaded, [order(Index(1), load("draft@1"))]);
    let unload = Action::Unload {
        version: "draft@1".into(),
    };
    assert_eq!(
        group.orders("clyde-e1"),
        [order(Index(2), load("draft@2")), order(Index(2), unload)]
    );
}

#[test]
fn a_withdrawn_version_is_unloaded() {
    let mut group = Group::with_first_ticket();
    let withdraw = "[[version]]\nname = \"draft@1\"\ncost = 0.2\nstage = \"withdrawn\"\n";

    accepted(&group.submit(&ticket_text("clyde", 2, withdraw)));

    let unload = Action::Unload {
        version: "draft@1".into(),
    };
    let expected = Order {
        fence: Index(2),
        action: unload,
    };
    assert_eq!(group.orders("clyde-e1"), [expected]);
}

fn version(name: &str) -> VersionId {
    VersionId {
        partner: "clyde".into(),
        name: name.into(),
    }
}

fn suspend(name: &str) -> Command {
    Command::Suspend {
        version: version(name),
        suspension: Suspension {
            reason: "errors".into(),
            ttl: Duration::from_mins(10),
            count: 0,
        },
    }
}

#[test]
fn the_last_version_of_a_workspace_is_not_suspended() {
    let mut group = Group::with_first_ticket();

    let one = group.apply(suspend("draft@1"));
    let two = group.apply(suspend("draft@2"));

    assert_eq!(one, Reply::Done);
    assert_eq!(two, Reply::Kept("counter".into()));
    assert_eq!(group.config().suspended.len(), 1);
}

#[test]
fn a_late_lift_does_not_end_a_later_suspension() {
    let mut group = Group::with_first_ticket();
    let lift = |count| Command::Lift {
        version: version("draft@1"),
        count,
    };
    group.apply(suspend("draft@1"));
    group.apply(lift(1));
    group.apply(suspend("draft@1"));

    group.apply(lift(1));

    assert_eq!(group.config().suspended.len(), 1);
    assert_eq!(group.config().suspended[0].1.count, 2);
}

fn crash(backend: &str, incarnation: u64, digests: &[&[u8]]) -> Command {
    Command::Crashes(vec![CrashReport {
        backend: backend.into(),
        incarnation: Incarnation(incarnation),
        digests: digests.iter().map(|d| Digest::of(d)).collect(),
    }])
}

#[test]
fn a_digest_at_two_crashes_is_quarantined_and_bystanders_are_cleared() {
    let mut group = Group::with_first_ticket();

    group.apply(crash("e1", 1, &[b"poison", b"one"]));
    group.apply(crash("e1", 1, &[b"poison", b"one"]));
    let reported_twice = group.config().suspects.values().any(|s| s.quarantined);
    group.apply(crash("e2", 7, &[b"poison", b"two"]));
    group.apply(Command::Clear(vec![
        Digest::of(b"one"),
        Digest::of(b"two"),
        Digest::of(b"poison"),
    ]));

    assert!(!reported_twice);
    let suspects = &group.config().suspects;
    assert_eq!(suspects.len(), 1);
    assert!(suspects[&Digest::of(b"poison")].quarantined);
}

#[test]
fn suspects_are_bounded() {
    let mut group = Group::with_first_ticket();
    group.apply(crash("e1", 1, &[b"poison"]));
    group.apply(crash("e2", 1, &[b"poison"]));

    for i in 0..5_000_u32 {
        group.apply(crash("e3", 1, &[&i.to_le_bytes()]));
    }

    let suspects = &group.config().suspects;
    assert!(suspects.len() <= 4_096);
    assert!(suspects[&Digest::of(b"poison")].quarantined);
}

#[test]
fn the_first_answer_survives_a_snapshot() {
    let store = Arc::<Store>::default();
    let mut machine = Machine::new(Arc::clone(&store));
    let text = first_ticket("clyde", 1);
    let ticket = ticket::check("test", &text, None).unwrap();
    let command = codec::encode(&Command::Ticket {
        ticket: Box::new(ticket),
        text,
        numbering: Numbering::PerPartner,
    });
    machine.apply(Index(1), &command);
    let mut other = Machine::new(Arc::default());

    other.restore(&machine.snapshot()).unwrap();
    let reply: Reply = codec::decode(&other.apply(Index(9), &command)).unwrap();

    assert_eq!(accepted(&reply).index, Index(1));
    assert!(matches!(reply, Reply::Accepted { repeated: true, .. }));
}

#[test]
fn a_snapshot_that_does_not_decode_is_refused() {
    let mut machine = Machine::new(Arc::default());

    let outcome = machine.restore(KEY.as_bytes());

    assert!(outcome.is_err());
}

#[test]
fn texts_are_kept_for_the_latest_tickets_only() {
    let mut group = Group::with_first_ticket();
    for number in 2..=400 {
        accepted(&group.submit(&ticket_text("clyde", number, "")));
    }

    let records = &group.state.history["clyde"];

    assert_eq!(records.len(), 400);
    assert_eq!(records.iter().filter(|r| r.text.is_some()).count(), 256);
    assert!(records.back().unwrap().text.is_some());
}

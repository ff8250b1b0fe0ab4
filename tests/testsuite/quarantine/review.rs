//! Tests of the leader's review of content.

use super::fixtures::{at, caller, pool_with_ends, run};
use cardamomtally::{
    net::codec,
    prelude::*,
    quarantine::{
        fingerprint::Fingerprint,
        pool::{Pool, QUIET_TIME, Run},
        report::Item,
        review::Review,
        verdict::{Change, Verdicts},
    },
    site::state::{Command, Reply, State},
};

/// Wall time of the test's start, in milliseconds.
const WALL: u64 = 1_000_000;

/// A leader and the verdicts that it has put in force.
#[derive(Default)]
struct Site {
    review: Review,
    verdicts: Verdicts,
}

impl Site {
    /// Records a poll of an entry that knows this evidence and has refused content.
    fn poll(&mut self, pool: &Pool, hits: &[Fingerprint], ms: u64) {
        let report = pool.report(8, at(ms));
        self.review
            .record_poll(&"entry-1".into(), &report, hits, at(ms));
    }

    /// Applies the changes that are due and returns them.
    fn step(&mut self, ms: u64) -> Vec<Change> {
        let changes = self.review.changes(&self.verdicts, WALL + ms, at(ms));
        for change in &changes {
            self.verdicts.apply(change.clone());
        }
        changes
    }
}

fn site_with_verdict(bad: &Run) -> Site {
    let mut site = Site::default();
    site.poll(&pool_with_ends(bad, 3), &[bad.whole], 3_000);
    site.step(3_000);
    site.step(3_200);
    site
}

#[test]
fn evidence_of_a_poll_leads_to_one_verdict() {
    let bad = run("bad");
    let mut site = site_with_verdict(&bad);

    site.poll(&pool_with_ends(&bad, 3), &[bad.whole], 3_300);
    let again = site.step(3_400);

    assert_eq!(site.verdicts.in_force[&bad.whole].ends.len(), 3);
    assert_eq!(again, []);
}

#[test]
fn new_leader_keeps_the_verdicts_and_decides_on_evidence_that_comes_again() {
    let (old, new) = (run("old"), run("new"));
    let mut site = site_with_verdict(&old);
    site.review = Review::default();

    site.poll(&pool_with_ends(&new, 3), &[old.whole], 5_000);
    site.step(5_000);

    let in_force: Vec<_> = site.verdicts.in_force.keys().copied().collect();
    assert_eq!(in_force.len(), 2);
    assert!(in_force.contains(&old.whole) && in_force.contains(&new.whole));
}

#[test]
fn verdict_is_lifted_when_no_request_with_its_content_comes() {
    let bad = run("bad");
    let mut site = site_with_verdict(&bad);
    let quiet = QUIET_TIME.as_millis() as u64;

    site.step(quiet + 2_900);
    let kept = site.verdicts.in_force.len();
    site.step(quiet + 3_300);

    assert_eq!(kept, 1);
    assert_eq!(site.verdicts.in_force.len(), 0);
}

#[test]
fn verdict_is_lifted_by_an_answer_in_full() {
    let content = run("slandered");
    let mut site = site_with_verdict(&content);
    let good = Item {
        content: content.whole,
        ends: Vec::new(),
        goods: vec![(caller("studio"), 10)],
        trial: None,
    };

    site.review
        .record_poll(&"entry-2".into(), &vec![good], &[], at(9_000));
    site.step(9_000);
    site.poll(&pool_with_ends(&content, 3), &[], 9_200);
    site.step(9_300);

    assert_eq!(site.verdicts.in_force.len(), 0);
}

#[test]
fn probes_are_few_and_become_rarer() {
    let bad = run("bad");
    let mut site = site_with_verdict(&bad);
    let mut granted = Vec::new();

    for second in 4..1_000 {
        let ms = second * 1_000;
        site.poll(&Pool::default(), &[bad.whole], ms);
        let probes = site
            .step(ms)
            .into_iter()
            .filter(|change| matches!(change, Change::Grant { .. }));
        granted.extend(probes.map(|_| second));
    }

    assert_eq!(granted, [33, 153, 633]);
}

#[test]
fn probe_is_granted_once_by_leaders_that_follow_each_other() {
    let bad = run("bad");
    let mut site = site_with_verdict(&bad);
    site.poll(&Pool::default(), &[bad.whole], 34_000);
    let before = site.verdicts.clone();
    let first = site.review.changes(&before, WALL + 34_000, at(34_000));
    let mut next = Review::default();
    next.record_poll(&"entry-2".into(), &Vec::new(), &[bad.whole], at(34_100));
    let second = next.changes(&before, WALL + 34_100, at(34_100));

    let applied = first.into_iter().chain(second);
    let applied = applied.filter(|change| site.verdicts.apply(change.clone()));

    assert_eq!(applied.count(), 1);
}

#[test]
fn replicated_state_counts_changes_of_the_verdicts_only() {
    let bad = run("bad");
    let site = site_with_verdict(&bad);
    let verdict = site.verdicts.in_force[&bad.whole].clone();
    let mut state = State::default();
    let add = || Command::Verdicts(vec![Change::Add(bad.whole, verdict.clone())]);

    let first = state.apply(Index(5), add());
    let again = state.apply(Index(6), add());
    let read: State = codec::decode(&codec::encode(&state)).unwrap();

    assert_eq!((first, again), (Reply::Done, Reply::Same));
    assert_eq!(read.verdicts.index, Index(5));
    assert_eq!(read, state);
}

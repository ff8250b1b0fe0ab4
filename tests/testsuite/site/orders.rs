//! Which orders may be late copies of ones that were given up.

use cardamomtally::{
    prelude::*,
    site::{
        orders::{Doubt, Evidence, Orders},
        rollout::{Rollout, Stage},
    },
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

/// Number of drawn plays without `CARDAMOMTALLY_SEEDS`, as in CI.
const SEEDS: u64 = 500;

const CENTRE: &str = "north";
const SERVICE: &str = "drafts";

fn told(index: u64) -> Evidence {
    Evidence {
        told: Index(index),
        ..Evidence::default()
    }
}

fn doubt(latest: u64) -> Result<Index, Doubt> {
    Err(Doubt {
        latest: Index(latest),
    })
}

/// Returns the orders after evacuations (`true`) and withdrawals, from log index 1 on.
fn evacuated(orders: &[bool]) -> Orders {
    let mut state = Orders::default();
    for (index, evacuated) in (1..).zip(orders) {
        state.record_evacuation(Index(index), &CENTRE.into(), *evacuated);
    }
    state
}

/// Returns the orders after roll-outs of versions, from log index 1 on.
fn rolled_out(versions: &[&str]) -> Orders {
    let mut state = Orders::default();
    for (index, version) in (1..).zip(versions) {
        state.record_rollout(Index(index), &SERVICE.into(), &(*version).into());
    }
    state
}

fn running(version: &str) -> Rollout {
    Rollout::new(version.into(), 1_000, 1)
}

fn ended(version: &str) -> Rollout {
    Rollout {
        stage: Stage::Completed,
        ..running(version)
    }
}

#[test]
fn first_order_is_carried_out_whoever_sent_it() {
    let orders = Orders::default();

    let evacuation = orders.decide_evacuation(CENTRE, true, Evidence::default());
    let rollout = orders.decide_rollout(SERVICE, "v2", Evidence::default(), None);

    assert_eq!([evacuation, rollout], [Ok(Index(0)); 2]);
}

#[test]
fn order_of_a_sender_that_was_told_of_the_latest_one_is_carried_out() {
    let centre = evacuated(&[true, false, true]);
    let service = rolled_out(&["v2", "v3"]);

    let withdrawal = centre.decide_evacuation(CENTRE, false, told(3));
    let rollout = service.decide_rollout(SERVICE, "v2", told(2), Some(&running("v3")));

    assert_eq!([withdrawal, rollout], [Ok(Index(3)), Ok(Index(2))]);
}

/// Guards against a withdrawal that was held up and undoes a newer evacuation (`review/8`).
#[test]
fn withdrawal_is_asked_back_unless_it_can_only_mean_the_evacuation_in_force() {
    let decide = |orders: &[bool], evidence| {
        let orders = evacuated(orders);
        orders.decide_evacuation(CENTRE, false, evidence)
    };

    assert_eq!(decide(&[true], Evidence::default()), Ok(Index(1)));
    assert_eq!(decide(&[true, false, true], told(1)), doubt(3));
    assert_eq!(decide(&[true, false, true], Evidence::default()), doubt(3));
    assert_eq!(decide(&[true, true], Evidence::default()), doubt(2));
    assert_eq!(decide(&[false, true], Evidence::default()), doubt(2));
}

/// Guards against an evacuation that is held back although the data centre may be in trouble,
/// and against one that was held up on a connection that has had an answer before.
#[test]
fn evacuation_is_asked_back_only_if_something_older_is_known_of_its_sender() {
    let orders = evacuated(&[true, false]);
    let stalled = Evidence {
        stalled: true,
        ..Evidence::default()
    };

    let decide = |evidence| orders.decide_evacuation(CENTRE, true, evidence);

    assert_eq!(decide(Evidence::default()), Ok(Index(2)));
    assert_eq!(decide(told(1)), doubt(2));
    assert_eq!(decide(stalled), doubt(2));
}

/// Guards against a roll-out order that was held up and replaces a newer one, or begins again
/// after its roll-out has ended.
#[test]
fn rollout_is_asked_back_unless_its_version_is_new_and_none_runs() {
    let mut orders = rolled_out(&["v2"]);
    orders.record_end(Index(7), &SERVICE.into());
    let nothing = Evidence::default();
    let (v2, runs) = (ended("v2"), running("v2"));
    let decide = |target, evidence, former| {
        let orders = orders.clone();
        orders.decide_rollout(SERVICE, target, evidence, Some(former))
    };

    assert_eq!(decide("v3", nothing, &v2), Ok(Index(1)));
    assert_eq!(decide("v3", nothing, &runs), doubt(1));
    assert_eq!(decide("v2", nothing, &v2), doubt(7));
    assert_eq!(decide("v2", told(1), &v2), doubt(7));
    assert_eq!(decide("v2", told(7), &v2), Ok(Index(1)));
}

/// Guards against a state of a former build that is taken for one without any order before.
#[test]
fn orders_of_a_former_build_count_as_ordered_before() {
    let mut orders = Orders::default();
    orders.centres.insert(CENTRE.into(), Index(4));
    orders.services.insert(SERVICE.into(), Index(5));
    orders.record_evacuation(Index(6), &CENTRE.into(), true);

    let withdrawal = orders.decide_evacuation(CENTRE, false, Evidence::default());
    let rollout = orders.decide_rollout(SERVICE, "v2", Evidence::default(), None);

    assert_eq!([withdrawal, rollout], [doubt(6), doubt(5)]);
}

/// An order that the network holds up on a connection.
struct Held {
    evacuated: bool,
    evidence: Evidence,
}

/// One operator before a data centre: it orders the two in turn or the same again, over
/// connections of which the network holds some up, and gives some orders up.
#[derive(Default)]
struct Play {
    orders: Orders,
    out: bool,
    index: u64,
    held: Vec<Held>,
}

impl Play {
    /// Carries an order out if a member would. Returns whether it was acknowledged.
    fn arrive(&mut self, evacuated: bool, evidence: Evidence) -> Result<(), Doubt> {
        if self.out != evacuated {
            let decided = self.orders.decide_evacuation(CENTRE, evacuated, evidence)?;
            assert_eq!(decided, self.orders.latest_evacuation(CENTRE));
        }
        self.index += 1;
        let index = Index(self.index);
        self.orders
            .record_evacuation(index, &CENTRE.into(), evacuated);
        self.out = evacuated;
        Ok(())
    }

    /// Orders until it is acknowledged, following the question. What the network holds up goes
    /// on to be held.
    fn order(&mut self, rng: &mut SmallRng, evacuated: bool, kept: &mut Index) {
        loop {
            let on_kept = rng.random_bool(0.5);
            let mut evidence = told(if on_kept { kept.0 } else { 0 });
            if rng.random_bool(0.4) {
                self.held.push(Held {
                    evacuated,
                    evidence,
                });
                *kept = if on_kept { Index(0) } else { *kept };
                continue;
            }
            if let Err(doubt) = self.arrive(evacuated, evidence) {
                evidence.told = doubt.latest;
                if rng.random_bool(0.2) {
                    self.held.push(Held {
                        evacuated,
                        evidence,
                    });
                    continue;
                }
                self.arrive(evacuated, evidence).unwrap();
            }
            *kept = Index(self.index);
            return;
        }
    }
}

/// Guards against any order that was held up and undoes a newer one that was acknowledged,
/// whichever way the operator went, and against an order that a sender that waits does not get
/// through.
#[test]
fn drawn_orders_that_are_held_up_never_undo_an_acknowledged_one() {
    let seeds = std::env::var("CARDAMOMTALLY_SEEDS").ok();
    let seeds = seeds.and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    for seed in 0..seeds {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut play = Play::default();
        let mut kept = Index(0);
        play.order(&mut rng, true, &mut kept);
        for _ in 0..30 {
            let evacuated = rng.random_bool(0.5);
            if rng.random_bool(0.2) {
                // Given up at all members.
                play.held.push(Held {
                    evacuated,
                    evidence: told(kept.0),
                });
                kept = Index(0);
            } else {
                play.order(&mut rng, evacuated, &mut kept);
            }
            let acknowledged = play.out;
            play.order(&mut rng, acknowledged, &mut kept);
            while !play.held.is_empty() && rng.random_bool(0.6) {
                let next = rng.random_range(0..play.held.len());
                let late = play.held.swap_remove(next);
                if late.evacuated && late.evidence == Evidence::default() {
                    // Carried out by decision, since it may be new.
                    continue;
                }
                let _asked = play.arrive(late.evacuated, late.evidence);
                assert_eq!(play.out, acknowledged, "seed {seed}");
            }
        }
    }
}

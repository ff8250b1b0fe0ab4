//! Tests of a retry budget that several entries share.

use cardamomtally::{
    prelude::*,
    routing::budget::{BudgetTerms, Cause, SharedBudget},
};
use proptest::prelude::*;

const TERMS: BudgetTerms = BudgetTerms {
    ratio: 0.8,
    burst_ratio: 0.07,
    base_burst: 84.0,
};
/// Bound on the retries of all entries: a number of retries per request, and a
/// number of retries on top that does not depend on the requests.
const RETRY_BOUND: (f64, f64) = (0.9, 94.0);

/// Simulates entries that receive a request at a fixed interval for 20 s and
/// ask for a retry after each. Returns the requests and retries of all entries
/// in the last 10 s.
fn simulate(
    entries: u32,
    every: Duration,
    retry: impl Fn(&mut SharedBudget) -> bool,
) -> (u32, u32) {
    let mut budget = SharedBudget::new(TERMS, entries, Mono(0));
    let (mut requests, mut retries) = (0, 0);
    let mut now = Mono(0);
    while now < Mono(20_000_000) {
        now = now + every;
        budget.earn(entries, now);
        let late = now > Mono(10_000_000);
        requests += u32::from(late);
        retries += u32::from(retry(&mut budget) && late);
    }
    (requests * entries, retries * entries)
}

#[test]
fn escalation_share_does_not_depend_on_the_number_of_entries() {
    let escalate = |budget: &mut SharedBudget| budget.spend_optional(0.5);

    for entries in [1, 7, 27, 300] {
        let (requests, retries) = simulate(entries, Duration::from_millis(70), escalate);

        let share = f64::from(retries) / f64::from(requests);
        assert!(share > 0.6, "{entries} entries escalate {share}");
    }
}

#[test]
fn escalations_leave_budget_for_retries_after_failures() {
    let mut budget = SharedBudget::new(TERMS, 7, Mono(0));
    for second in 0..30 {
        budget.earn(7, Mono(second * 1_000_000));
    }
    while budget.spend_optional(0.5) {}

    let failures = (0..20).filter(|_| budget.spend(Cause::Failed)).count();

    assert!(failures >= 5, "{failures}");
}

proptest! {
    #[test]
    fn all_entries_together_keep_the_retry_bound(entries in 1_u32..40, every in 5_u64..2_000) {
        let all = |budget: &mut SharedBudget| budget.spend(Cause::Failed);

        let (requests, retries) = simulate(entries, Duration::from_millis(every), all);

        let most = RETRY_BOUND.0 * f64::from(requests) + RETRY_BOUND.1;
        prop_assert!(f64::from(retries) <= most, "{retries} retries, {most} allowed");
    }
}

//! Tests of the service-level indicator by profile and version.

use bamboolock::{
    ledger::record::Cause,
    report::sli::{
        self,
        CauseCount,
        Counts, //
    }, //
};
use proptest::prelude::*;

use crate::rows;

#[test]
fn a_cancellation_within_the_objective_is_not_counted() {
    let mut row = rows::row(1, "check", 1, 97, 3);
    row.tally.add_cause(Cause::Cancelled, 50);
    row.tally.total += 50;
    let line = sli::sum([&row].into_iter());
    assert_eq!((line.counted, line.cancelled), (100, 50));
    assert_eq!(line.share(), Some(970_000));
}

#[test]
fn no_work_has_no_share() {
    assert_eq!(Counts::default().share(), None);
    assert_eq!(Counts::default().mean_wait(), None);
}

#[test]
fn profiles_are_sorted_by_bad_work_and_list_their_causes() {
    let mut worst = rows::row(1, "plan", 2, 10, 5);
    worst.tally.add_cause(Cause::Failed, 7);
    worst.tally.total += 7;
    let all = [rows::row(2, "check", 1, 1_000, 6), worst];
    let found = sli::profiles(all.iter());
    let names: Vec<_> = found.iter().map(|p| p.profile.as_str()).collect();
    assert_eq!(names, ["plan", "check"]);
    let count_of = |cause, count| CauseCount { cause, count };
    assert_eq!(
        found[0].causes,
        [count_of(Cause::Failed, 7), count_of(Cause::Late, 5)]
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn profiles_and_versions_add_up_to_the_total(rows in rows::any_rows()) {
        let all = sli::sum(rows.iter());
        let profiles = sli::profiles(rows.iter());
        let versions: Vec<_> = profiles.iter().flat_map(|p| &p.versions).collect();
        let parts: [fn(&Counts) -> u64; 7] = [
            |l| l.counted,
            |l| l.good,
            |l| l.placed,
            |l| l.once,
            |l| l.timely,
            |l| l.cancelled,
            |l| l.waited,
        ];
        for part in parts {
            prop_assert_eq!(profiles.iter().map(|p| part(&p.counts)).sum::<u64>(), part(&all));
            prop_assert_eq!(versions.iter().map(|v| part(&v.counts)).sum::<u64>(), part(&all));
        }
        // Each request or job that is not good misses exactly one of the three criteria.
        let missing = 3 * all.counted - all.placed - all.once - all.timely;
        prop_assert_eq!(missing, all.bad());
    }
}

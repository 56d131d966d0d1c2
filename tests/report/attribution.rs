//! Tests of the attribution of service-level changes to profiles.

use assert_matches::assert_matches;
use bamboolock::{
    ledger::{
        outcomes::Row,
        record::Cause, //
    },
    report::attribution::{
        self,
        Comparison,
        Origin, //
    }, //
};
use proptest::prelude::*;

use crate::rows;

/// Compares the last hour with the hour before it.
fn compare(rows: &[Row]) -> Comparison {
    let middle = rows::row(60, "check", 1, 0, 0).start;
    let (before, after) = rows.split_at(rows.partition_point(|r| r.start < middle));
    attribution::compare(before.iter(), after.iter())
}

/// Returns the rows of two hours; `of` makes the rows of a minute from its age in minutes.
fn two_hours(of: impl Fn(u64) -> Vec<Row>) -> Vec<Row> {
    (0..120).rev().flat_map(of).collect()
}

#[test]
fn a_fall_names_the_profile_and_the_version_that_caused_it() {
    let found = compare(&two_hours(|ago| {
        let (version, late) = if ago < 40 { (4, 30) } else { (3, 2) };
        vec![
            rows::row(ago, "check", version, 100 - late, late),
            rows::row(ago, "plan", 1, 99, 1),
        ]
    }));
    let part = &found.contributions[0];
    assert_eq!(
        (part.profile.as_str(), part.cause),
        ("check", Some(Cause::Late))
    );
    let since = rows::row(39, "check", 1, 0, 0).start;
    let origin = Origin {
        version: 4,
        published: true,
        since,
    };
    assert_eq!(part.origin, Some(origin));
    assert_eq!(found.change, Some(part.total()));
    assert_eq!(found.contributions[1].total(), 0);
}

#[test]
fn a_fall_while_a_version_is_in_force_names_the_time() {
    // Version 4 was published 50 minutes ago and was as good as 3; the fall began 20 minutes ago.
    let found = compare(&two_hours(|ago| {
        let version = if ago < 50 { 4 } else { 3 };
        let late = if ago < 20 { 40 } else { 2 };
        vec![rows::row(ago, "check", version, 100 - late, late)]
    }));
    let since = rows::row(19, "check", 1, 0, 0).start;
    let origin = Origin {
        version: 4,
        published: false,
        since,
    };
    assert_eq!(found.contributions[0].origin, Some(origin));
}

#[test]
fn a_rise_before_the_fall_is_not_the_origin() {
    // No work was good until 70 minutes ago, all work until 60 minutes ago, and a tenth since then.
    let found = compare(&two_hours(|ago| {
        let good = match ago {
            70.. => 0,
            60.. => 100,
            _ => 10,
        };
        vec![rows::row(ago, "check", 1, good, 100 - good)]
    }));
    assert!(found.change.unwrap() < 0);
    let since = rows::row(59, "check", 1, 0, 0).start;
    assert_matches!(found.contributions[0].origin, Some(o) if o.since == since);
}

#[test]
fn more_work_of_a_worse_profile_is_volume_and_not_quality() {
    let found = compare(&two_hours(|ago| {
        let plans = if ago < 60 { 10 } else { 1 };
        vec![
            rows::row(ago, "check", 1, 1_000, 0),
            rows::row(ago, "plan", 1, 80 * plans, 20 * plans),
        ]
    }));
    assert!(found.change.unwrap() < 0);
    let plan = &found.contributions[0];
    assert_eq!((plan.profile.as_str(), plan.quality), ("plan", 0));
    assert!(plan.volume < 0);
    assert_eq!((plan.origin, plan.cause), (None, None));
}

#[test]
fn a_new_profile_is_compared_with_the_earlier_total() {
    let found = compare(&two_hours(|ago| {
        let mut rows = vec![rows::row(ago, "check", 1, 100, 0)];
        if ago <= 60 {
            rows.push(rows::row(ago, "letter", 1, 50, 50));
        }
        rows
    }));
    assert_eq!(found.change, Some(-250_000));
    assert_matches!(&found.contributions[0], p if p.profile.as_str() == "letter" && p.quality == -250_000);
}

#[test]
fn a_span_without_work_has_no_contributions() {
    let late = vec![rows::row(1, "check", 1, 5, 5)];
    assert_matches!(compare(&late), m if m.change.is_none() && m.contributions.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn contributions_sum_exactly_to_the_change(rows in rows::any_rows()) {
        let found = compare(&rows);
        let Some(change) = found.change else { return Ok(()) };
        let sum: i64 = found.contributions.iter().map(attribution::Contribution::total).sum();
        prop_assert_eq!(sum, change);
        let exact = |part: &attribution::Contribution| {
            let weight = |count: u64, whole: u64| count as f64 / whole as f64;
            let after = weight(part.after.good, found.after.counted);
            let before = weight(part.before.good, found.before.counted);
            let more = weight(part.after.counted, found.after.counted)
                - weight(part.before.counted, found.before.counted);
            1e6 * (after - before - more * weight(found.before.good, found.before.counted))
        };
        for part in &found.contributions {
            // Each contribution equals the exact value except for rounding to parts per million.
            prop_assert!((part.total() as f64 - exact(part)).abs() <= 4.0, "{:?}", part);
        }
    }
}

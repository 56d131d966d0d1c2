//! Tests of the outcome sums that every reader of the log keeps.

use bamboolock::{
    ids::{
        Incarnation,
        Millis, //
    },
    ledger::{
        outcomes::{
            AUTHOR_RETENTION_MS,
            Admission, //
            DAY,
            HOUR,
            MINUTE,
            Outcomes,
        },
        record::{
            self,
            Author,
            Cause, //
        }, //
    }, //
};
use proptest::prelude::*;

/// Start of a Monday in 2026, in milliseconds since 1970.
const START: u64 = 20_600 * DAY;

fn author(incarnation: u64) -> Author {
    Author {
        instance: "entry-1".parse().unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

fn record(seq: u64, at: u64, good: u64, late: u64) -> record::OutcomeCounts {
    let mut row = record::Tally::empty("check".parse().unwrap(), 1);
    row.total = good + late;
    row.good = good;
    row.waited = 3 * row.total;
    if late > 0 {
        row.add_cause(Cause::Late, late);
    }
    record::OutcomeCounts {
        seq,
        at: Millis(at),
        rows: vec![row],
    }
}

fn total(outcomes: &Outcomes) -> record::Tally {
    let mut sum = record::Tally::empty("check".parse().unwrap(), 1);
    outcomes.rows(Millis(0)).for_each(|row| sum.add(&row.tally));
    sum
}

#[test]
fn a_duplicate_record_is_not_counted() {
    let mut outcomes = Outcomes::default();
    let first = record(1, START, 5, 1);
    let apply =
        |o: &mut Outcomes, r, incarnation| o.apply(&author(incarnation), r, Millis(START + 10));
    assert_eq!(apply(&mut outcomes, &first, 1), Admission::Counted);
    assert_eq!(apply(&mut outcomes, &first, 1), Admission::Duplicate);
    let second = record(2, START, 2, 0);
    assert_eq!(apply(&mut outcomes, &second, 1), Admission::Counted);
    assert_eq!(apply(&mut outcomes, &first, 1), Admission::Duplicate);
    // The same sequence number from another incarnation is another record.
    assert_eq!(apply(&mut outcomes, &first, 2), Admission::Counted);
    assert_eq!(total(&outcomes).total, 14);
}

#[test]
fn a_duplicate_after_the_retention_of_its_author_is_not_counted() {
    let mut outcomes = Outcomes::default();
    let last = record(7, START, 5, 1);
    for seq in 1..=7 {
        outcomes.apply(&author(1), &record(seq, START, 5, 1), Millis(START));
    }
    let late = Millis(START + AUTHOR_RETENTION_MS + 2 * MINUTE);
    assert_eq!(
        outcomes.apply(&author(1), &last, late),
        Admission::UnknownAuthor
    );
    assert_eq!(
        outcomes.apply(&author(1), &last, late),
        Admission::Duplicate
    );
    let next = record(8, late.0, 5, 1);
    assert_eq!(outcomes.apply(&author(1), &next, late), Admission::Counted);
    assert_eq!(total(&outcomes).total, 8 * 6);
}

#[test]
fn an_inconsistent_record_is_not_counted() {
    let mut outcomes = Outcomes::default();
    let mut wrong = record(1, START, 5, 1);
    wrong.rows[0].total = 7;
    let at = Millis(START);
    assert_eq!(
        outcomes.apply(&author(1), &wrong, at),
        Admission::Inconsistent
    );
    let right = record(1, START, 5, 1);
    assert_eq!(outcomes.apply(&author(1), &right, at), Admission::Counted);
}

#[test]
fn a_delayed_record_counts_at_its_own_time_and_an_invalid_time_is_replaced_by_the_logs() {
    let mut outcomes = Outcomes::default();
    let now = START + 5 * HOUR;
    let cases = [
        (now - 90 * MINUTE, now - 90 * MINUTE, MINUTE),
        (
            now - 3 * HOUR - MINUTE,
            now - 3 * HOUR - 10 * MINUTE,
            10 * MINUTE,
        ),
        (now + HOUR, now, MINUTE),
        (5, now, MINUTE),
    ];
    for (incarnation, (own, _, _)) in cases.iter().enumerate() {
        let record = record(1, *own, 1, 0);
        outcomes.apply(&author(incarnation as u64), &record, Millis(now));
    }
    let found: Vec<_> = outcomes
        .rows(Millis(0))
        .map(|r| (r.start.0, r.width, r.tally.total))
        .collect();
    assert_eq!(
        found,
        [
            (cases[1].1, 10 * MINUTE, 1),
            (cases[0].1, MINUTE, 1),
            (now, MINUTE, 2)
        ]
    );
}

#[test]
fn three_months_are_kept_in_a_bounded_number_of_rows() {
    let mut outcomes = Outcomes::default();
    let minutes = 100 * DAY / MINUTE;
    for i in 0..minutes {
        let at = START + i * MINUTE;
        outcomes.apply(&author(1), &record(i + 1, at, 1, 0), Millis(at));
    }
    let rows: Vec<_> = outcomes.rows(Millis(0)).collect();
    assert!(rows.len() < 400, "{} rows", rows.len());
    let kept = total(&outcomes).total * MINUTE;
    assert!((92 * DAY..=94 * DAY).contains(&kept), "{kept} ms kept");
    let adjoin = rows
        .windows(2)
        .all(|w| w[0].start.plus(w[0].width) == w[1].start);
    assert!(adjoin, "the buckets leave a gap or overlap");
    let hour = outcomes.rows(Millis(START + minutes * MINUTE - HOUR));
    assert_eq!(hour.map(|r| r.tally.total).sum::<u64>(), 60);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn merging_buckets_and_duplicates_keep_the_sums(
        entries in prop::collection::vec((0..4_u64, 0..9_u64, 0..9_u64, 0..5 * HOUR, 0..3_u8), 1..120),
    ) {
        let mut outcomes = Outcomes::default();
        let mut expected = record::Tally::empty("check".parse().unwrap(), 1);
        let mut now = START;
        let mut seqs = [0_u64; 4];
        for (incarnation, good, late, pause, repeats) in entries {
            now += pause;
            seqs[incarnation as usize] += 1;
            let own = now - pause / 2;
            let record = record(seqs[incarnation as usize], own, good, late);
            let first = outcomes.apply(&author(incarnation), &record, Millis(now));
            if first == Admission::Counted {
                expected.add(&record.rows[0]);
            }
            for _ in 0..repeats {
                now += 1;
                prop_assert_eq!(outcomes.apply(&author(incarnation), &record, Millis(now)), Admission::Duplicate);
            }
            // A reader that restores a snapshot continues with the same sums.
            let text = serde_json::to_string(&outcomes).unwrap();
            let copy: Outcomes = serde_json::from_str(&text).unwrap();
            prop_assert_eq!(&copy, &outcomes);
        }
        prop_assert_eq!(total(&outcomes), expected);
    }
}

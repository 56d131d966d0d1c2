//! Tests of the outcome counts of an entry instance.

use bamboolock::{
    ids::Millis,
    kernel::tally::{
        MAX_WINDOWS,
        Outcome,
        Tally,
        WINDOW_MS,
        Work, //
    },
    ledger::record::Cause,
    profile::Objective,
    wire::caller::Ran, //
};
use proptest::prelude::*;

/// Returns good work; each test changes the fields that it is about.
fn work() -> Work {
    Work {
        profile: "check".parse().unwrap(),
        version: 1,
        waited: 10,
        took: 50,
        objective: Objective {
            share: 0.99,
            deadline: 100,
            wait: 20,
        },
        ran: Ran::Yes,
        attempts: 1,
        outcome: Outcome::Done,
    }
}

#[test]
fn each_kind_of_bad_work_has_exactly_one_cause() {
    let late = |outcome| Work {
        took: 101,
        waited: 21,
        outcome,
        ..work()
    };
    let ended = |outcome| Work { outcome, ..work() };
    let cases = [
        (work(), None),
        (ended(Outcome::Refused), Some(Cause::Refused)),
        (ended(Outcome::Unplaced), Some(Cause::Unplaced)),
        (ended(Outcome::Unknown), Some(Cause::Unknown)),
        (ended(Outcome::Failed), Some(Cause::Failed)),
        (ended(Outcome::Cancelled), Some(Cause::Cancelled)),
        (late(Outcome::Done), Some(Cause::Late)),
        (late(Outcome::Failed), Some(Cause::Failed)),
        // A cancellation after the deadline counts as late.
        (late(Outcome::Cancelled), Some(Cause::Late)),
        (
            Work {
                ran: Ran::No,
                ..late(Outcome::Cancelled)
            },
            Some(Cause::Unplaced),
        ),
        (
            Work {
                waited: 21,
                ..work()
            },
            Some(Cause::Waited),
        ),
        (
            Work {
                ran: Ran::Unknown,
                ..work()
            },
            Some(Cause::Unknown),
        ),
        (
            Work {
                ran: Ran::No,
                ..work()
            },
            Some(Cause::Unplaced),
        ),
        // A second execution takes precedence over all other causes.
        (
            Work {
                attempts: 2,
                ..late(Outcome::Failed)
            },
            Some(Cause::Repeated),
        ),
        // Times equal to the limits still meet the objective.
        (
            Work {
                took: 100,
                waited: 20,
                ..work()
            },
            None,
        ),
    ];
    for (work, cause) in cases {
        assert_eq!(work.cause(), cause, "{work:?}");
    }
}

fn any_work() -> impl Strategy<Value = Work> {
    let outcome = prop::sample::select(vec![
        Outcome::Done,
        Outcome::Failed,
        Outcome::Refused,
        Outcome::Unplaced,
        Outcome::Unknown,
        Outcome::Cancelled,
    ]);
    let ran = prop::sample::select(vec![Ran::Yes, Ran::No, Ran::Unknown]);
    let name = prop::sample::select(vec!["check", "plan"]);
    let times = (0..40_u64, 0..200_u64);
    (name, 1..3_u32, times, ran, 0..3_u32, outcome).prop_map(
        |(name, version, (waited, took), ran, attempts, outcome)| Work {
            profile: name.parse().unwrap(),
            version,
            waited,
            took,
            ran,
            attempts,
            outcome,
            ..work()
        },
    )
}

/// Event in the life of a tally: work ends, an append is committed or fails, or time passes.
#[derive(Debug, Clone)]
enum Step {
    Ended(Work),
    Committed,
    Failed,
    Later(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => any_work().prop_map(Step::Ended),
        1 => Just(Step::Committed),
        1 => Just(Step::Failed),
        1 => (1..3 * WINDOW_MS).prop_map(Step::Later),
    ];
    prop::collection::vec(step, 0..200)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn committed_records_count_each_piece_of_work_once(steps in steps()) {
        let mut tally = Tally::default();
        let mut now = Millis(1_000_000_000);
        let mut ended: Vec<Work> = Vec::new();
        let mut log = Vec::new();
        for step in steps {
            match step {
                Step::Later(span) => now = now.plus(span),
                Step::Failed => drop(tally.next_record(now)),
                Step::Ended(work) => {
                    tally.record(now, &work);
                    ended.push(work);
                }
                Step::Committed => {
                    let Some(record) = tally.next_record(now) else { continue };
                    tally.committed(record.seq);
                    log.push(record);
                }
            }
        }
        while let Some(record) = tally.next_record(now) {
            tally.committed(record.seq);
            log.push(record);
        }
        prop_assert!(tally.is_empty());
        let seqs: Vec<_> = log.iter().map(|r| r.seq).collect();
        prop_assert_eq!(seqs, (1..=log.len() as u64).collect::<Vec<_>>());
        let rows: Vec<_> = log.iter().flat_map(|r| &r.rows).collect();
        prop_assert!(rows.iter().all(|r| r.is_consistent()));
        for name in ["check", "plan"] {
            for version in 1..3 {
                let mine = || {
                    let key = move |n: &str, v: u32| n == name && v == version;
                    let works = ended.iter().filter(move |w| key(w.profile.as_str(), w.version));
                    let rows = rows.iter().filter(move |r| key(r.profile.as_str(), r.version));
                    (works, rows)
                };
                let (works, rows) = mine();
                prop_assert_eq!(works.count() as u64, rows.map(|r| r.total).sum::<u64>());
                let (works, rows) = mine();
                let good = works.filter(|w| w.cause().is_none()).count() as u64;
                prop_assert_eq!(good, rows.map(|r| r.good).sum::<u64>());
                let (works, rows) = mine();
                let late = works.filter(|w| w.cause() == Some(Cause::Late)).count() as u64;
                prop_assert_eq!(late, rows.map(|r| r.cause_count(Cause::Late)).sum::<u64>());
                let (works, rows) = mine();
                let waited = works.map(|w| w.waited).sum::<u64>();
                prop_assert_eq!(waited, rows.map(|r| r.waited).sum::<u64>());
            }
        }
    }
}

#[test]
fn a_record_does_not_change_until_it_is_committed() {
    let mut tally = Tally::default();
    let now = Millis(10 * WINDOW_MS);
    tally.record(now, &work());
    let first = tally.next_record(now).unwrap();
    tally.record(now, &work());
    assert_eq!(tally.next_record(now.plus(9)), Some(first.clone()));
    tally.committed(first.seq + 1);
    assert_eq!(tally.next_record(now.plus(9)), Some(first.clone()));
    tally.committed(first.seq);
    let second = tally.next_record(now.plus(9)).unwrap();
    assert_eq!((second.seq, second.rows[0].total), (first.seq + 1, 1));
}

#[test]
fn a_long_outage_of_the_log_keeps_a_bounded_number_of_spans() {
    let mut tally = Tally::default();
    let minutes = MAX_WINDOWS as u64 + 100;
    for minute in 0..minutes {
        tally.record(Millis(minute * WINDOW_MS + 5), &work());
    }
    let mut log = Vec::new();
    while let Some(record) = tally.next_record(Millis(minutes * WINDOW_MS)) {
        tally.committed(record.seq);
        log.push(record);
    }
    assert_eq!(log.len(), MAX_WINDOWS);
    assert_eq!(log[0].rows[0].total, 101);
    assert_eq!(log[MAX_WINDOWS - 1].rows[0].total, 1);
    assert_eq!(log[MAX_WINDOWS - 1].at, Millis(minutes * WINDOW_MS - 1));
}

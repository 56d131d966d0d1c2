//! What an entry instance counts.

use bamboolock::{
    ids::Millis,
    kernel::tally::{
        End,
        MAX_SPANS,
        SPAN,
        Tally,
        Work, //
    },
    ledger::record::Cause,
    profile::Objective,
    wire::caller::Ran, //
};
use proptest::prelude::*;

/// Work that was good: the tests change what they are about.
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
        end: End::Done,
    }
}

#[test]
fn each_fault_has_its_one_cause() {
    let late = |end| Work {
        took: 101,
        waited: 21,
        end,
        ..work()
    };
    let ended = |end| Work { end, ..work() };
    let cases = [
        (work(), None),
        (ended(End::Refused), Some(Cause::Refused)),
        (ended(End::Unplaced), Some(Cause::Unplaced)),
        (ended(End::Unknown), Some(Cause::Unknown)),
        (ended(End::Failed), Some(Cause::Failed)),
        (ended(End::Cancelled), Some(Cause::Cancelled)),
        (late(End::Done), Some(Cause::Late)),
        (late(End::Failed), Some(Cause::Failed)),
        // A cancellation is no excuse for work that was late already.
        (late(End::Cancelled), Some(Cause::Late)),
        (
            Work {
                ran: Ran::No,
                ..late(End::Cancelled)
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
        // A second execution outweighs everything else.
        (
            Work {
                attempts: 2,
                ..late(End::Failed)
            },
            Some(Cause::Repeated),
        ),
        // The bounds themselves are kept promises.
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
    let end = prop::sample::select(vec![
        End::Done,
        End::Failed,
        End::Refused,
        End::Unplaced,
        End::Unknown,
        End::Cancelled,
    ]);
    let ran = prop::sample::select(vec![Ran::Yes, Ran::No, Ran::Unknown]);
    let name = prop::sample::select(vec!["check", "plan"]);
    let times = (0..40_u64, 0..200_u64);
    (name, 1..3_u32, times, ran, 0..3_u32, end).prop_map(
        |(name, version, (waited, took), ran, attempts, end)| Work {
            profile: name.parse().unwrap(),
            version,
            waited,
            took,
            ran,
            attempts,
            end,
            ..work()
        },
    )
}

/// What may happen to a tally: work ends, an append succeeds, or it fails.
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
        1 => (1..3 * SPAN).prop_map(Step::Later),
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
    fn committed_records_hold_each_piece_of_work_once(steps in steps()) {
        let mut tally = Tally::default();
        let mut now = Millis(1_000_000_000);
        let mut ended: Vec<Work> = Vec::new();
        let mut log = Vec::new();
        for step in steps {
            match step {
                Step::Later(span) => now = now.plus(span),
                Step::Failed => drop(tally.take(now)),
                Step::Ended(work) => {
                    tally.ended(now, &work);
                    ended.push(work);
                }
                Step::Committed => {
                    let Some(record) = tally.take(now) else { continue };
                    tally.committed(record.seq);
                    log.push(record);
                }
            }
        }
        while let Some(record) = tally.take(now) {
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
fn a_record_is_the_same_until_it_is_committed() {
    let mut tally = Tally::default();
    let now = Millis(10 * SPAN);
    tally.ended(now, &work());
    let first = tally.take(now).unwrap();
    tally.ended(now, &work());
    assert_eq!(tally.take(now.plus(9)), Some(first.clone()));
    tally.committed(first.seq + 1);
    assert_eq!(tally.take(now.plus(9)), Some(first.clone()));
    tally.committed(first.seq);
    let second = tally.take(now.plus(9)).unwrap();
    assert_eq!((second.seq, second.rows[0].total), (first.seq + 1, 1));
}

#[test]
fn an_outage_keeps_the_minutes_apart_and_its_memory_bounded() {
    let mut tally = Tally::default();
    let minutes = MAX_SPANS as u64 + 100;
    for minute in 0..minutes {
        tally.ended(Millis(minute * SPAN + 5), &work());
    }
    let mut log = Vec::new();
    while let Some(record) = tally.take(Millis(minutes * SPAN)) {
        tally.committed(record.seq);
        log.push(record);
    }
    assert_eq!(log.len(), MAX_SPANS);
    assert_eq!(log[0].rows[0].total, 101);
    assert_eq!(log[MAX_SPANS - 1].rows[0].total, 1);
    assert_eq!(log[MAX_SPANS - 1].at, Millis(minutes * SPAN - 1));
}

//! Tests of error-budget burn rates and alerts.

use bamboolock::{
    ids::Millis,
    ledger::outcomes::{
        HOUR,
        MINUTE,
        Row, //
    },
    report::{
        Input,
        Target,
        burn::{
            self,
            Burn,
            MAX_RATE,
            Severity, //
        }, //
    }, //
};

use crate::rows;

fn burn_of(rows: Vec<Row>, share: f64) -> Burn {
    let target = Target {
        profile: "check".parse().unwrap(),
        version: 1,
        share,
    };
    let input = Input {
        now: Millis(rows::NOW),
        rows,
        targets: vec![target],
    };
    burn::profiles(&input).remove(0)
}

/// Returns a row for each minute of `minutes` before the report, with `late` of 1,000 late.
fn minutes(minutes: std::ops::Range<u64>, late: u64) -> Vec<Row> {
    let row = |ago| rows::row(ago, "check", 1, 1_000 - late, late);
    minutes.rev().map(row).collect()
}

#[test]
fn a_burn_rate_of_one_meets_the_objective_exactly() {
    let burn = burn_of(minutes(0..60, 10), 0.99);
    for span in [5 * MINUTE, HOUR] {
        assert!((burn.rate(span) - 1.0).abs() < 1e-9, "{burn:?}");
    }
    assert!(burn.left.unwrap().abs() < 1e-9);
    assert!(burn.alerts.is_empty());
}

#[test]
fn an_alert_needs_both_the_short_and_the_long_window() {
    // One hour at 20 times the budget: all rules fire.
    let severities = |b: &Burn| b.alerts.iter().map(|a| a.severity).collect::<Vec<_>>();
    let hot = burn_of(minutes(0..60, 200), 0.99);
    let all = [
        Severity::Page,
        Severity::Page,
        Severity::Ticket,
        Severity::Ticket,
    ];
    assert_eq!(severities(&hot), all);
    // The same burn rate, but ended ten minutes ago: the shortest window is below its rate again.
    let mut over = minutes(10..60, 200);
    over.extend(minutes(0..10, 0));
    let over = burn_of(over, 0.99);
    assert!(over.rate(HOUR) > 14.4 && over.rate(5 * MINUTE) < 14.4);
    assert_eq!(severities(&over), all[1..]);
    // One bad minute after a long period without bad work: the long windows stay below their rates.
    let mut blip = minutes(1..400, 0);
    blip.extend(minutes(0..1, 900));
    let blip = burn_of(blip, 0.99);
    assert!(blip.rate(5 * MINUTE) > 14.4, "{blip:?}");
    assert!(blip.alerts.is_empty(), "{blip:?}");
}

#[test]
fn an_objective_of_one_allows_no_bad_work() {
    let clean = burn_of(minutes(0..60, 0), 1.0);
    assert!(clean.rate(HOUR).abs() < f64::EPSILON);
    let dirty = burn_of(minutes(0..60, 1), 1.0);
    assert!((dirty.rate(HOUR) - MAX_RATE).abs() < f64::EPSILON);
}

#[test]
fn each_version_counts_against_its_own_objective() {
    let target = |version, share| Target {
        profile: "check".parse().unwrap(),
        version,
        share,
    };
    let input = Input {
        now: Millis(rows::NOW),
        rows: vec![
            rows::row(2, "check", 1, 900, 100),
            rows::row(1, "check", 2, 990, 10),
        ],
        targets: vec![target(1, 0.9), target(2, 0.99)],
    };
    let burn = burn::profiles(&input).remove(0);
    assert!((burn.rate(HOUR) - 1.0).abs() < 1e-9, "{burn:?}");
}

#[test]
fn without_an_objective_there_is_no_burn_rate() {
    let input = Input {
        now: Millis(rows::NOW),
        rows: vec![rows::row(1, "check", 1, 9, 1)],
        targets: Vec::new(),
    };
    let burn = burn::profiles(&input).remove(0);
    assert!(burn.windows.iter().all(|w| w.rate.is_none()));
    assert_eq!(burn.left, None);
}

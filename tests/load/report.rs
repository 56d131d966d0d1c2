//! Tests of the report that is computed from samples.

use bamboolock::{
    load::{
        report::{
            RefusalCount,
            Report, //
        },
        sample::{
            Class,
            Sample, //
        },
        schedule::Arrival,
        table, //
    },
    wire::caller::Code, //
};

/// Returns ten checks per second for ten seconds. The last fifty lie in a burst, and the last one
/// is refused.
fn work() -> (Vec<Arrival>, Vec<Sample>) {
    let arrival = |i: u64| Arrival {
        at: i * 100_000,
        profile: "check".parse().unwrap(),
        work: format!("w{i}").into(),
        time: 5,
        deadline: None,
        key: None,
        padding: 0,
        crest: i >= 50,
        job: None,
    };
    let sample = |i: u64| Sample {
        index: i as usize,
        at: i * 100_000,
        lag: 0,
        latency: (i + 1) * 1_000,
        wait: None,
        class: if i == 99 { Class::Refused } else { Class::Good },
        code: (i == 99).then_some(Code::QueueFull),
        execution: "".into(),
        detail: String::new(),
    };
    (
        (0..100).map(arrival).collect(),
        (0..100).map(sample).collect(),
    )
}

fn near(found: u64, expected: u64) -> bool {
    found.abs_diff(expected) * 500 <= expected
}

#[test]
fn rows_hold_shares_and_percentiles() {
    let (arrivals, samples) = work();
    let report = Report::new(&arrivals, &samples, None);
    let [all, crest] = &report.rows[..] else {
        panic!("{} rows", report.rows.len());
    };
    assert_eq!(
        (all.sent, all.crest, crest.sent, crest.crest),
        (100, false, 50, true)
    );
    assert_eq!((all.good, crest.good), (0.99, 0.98));
    assert!(near(all.latency.p50, 50_000), "{:?}", all.latency);
    assert!(near(all.latency.max, 99_000), "{:?}", all.latency);
    assert!(near(crest.latency.p50, 75_000), "{:?}", crest.latency);
    let refused = RefusalCount {
        profile: "check".into(),
        code: Some(Code::QueueFull),
        class: Class::Refused,
        count: 1,
    };
    assert_eq!(report.refused, [refused]);
}

#[test]
fn seconds_are_grouped_by_intended_time() {
    let (arrivals, samples) = work();
    let report = Report::new(&arrivals, &samples, None);
    let sent: Vec<_> = report.seconds.iter().map(|s| s.sent).collect();
    let good: Vec<_> = report.seconds.iter().map(|s| s.good).collect();
    assert_eq!(sent, [10; 10]);
    assert_eq!(good, [10, 10, 10, 10, 10, 10, 10, 10, 10, 9]);
}

#[test]
fn a_wrong_or_doubled_response_or_a_violation_fails_the_report() {
    for class in [Class::Wrong, Class::Doubled] {
        let (arrivals, mut samples) = work();
        assert!(Report::new(&arrivals, &samples, None).passed());
        samples[3].class = class;
        let report = Report::new(&arrivals, &samples, None);
        assert!(!report.passed(), "{class:?}");
        assert!(table::render(&report).contains("w3"), "{class:?}");
    }
    let mut verdict = bamboolock::standin::judge::Verdict::default();
    let (arrivals, samples) = work();
    assert!(Report::new(&arrivals, &samples, Some(verdict.clone())).passed());
    verdict.counters.violations = 1;
    assert!(!Report::new(&arrivals, &samples, Some(verdict)).passed());
}

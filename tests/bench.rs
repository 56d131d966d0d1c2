//! Tests of the bench: arrivals are repeatable, refusals do not improve the figures, and targets
//! are judged correctly.

use std::sync::Arc;

use bamboolock::{
    bench::{
        arrivals::{
            self,
            Request,
            RunTimes,
            Work, //
        },
        report::{
            Line,
            Target,
            Verdict, //
        },
        sim::{
            Completion,
            Start, //
        },
        tally::Tally,
    },
    profile::Profile, //
};

fn work(times: RunTimes, load: f64) -> Work {
    let json = serde_json::json!({
        "kind": "request", "team": "t", "objective": {"deadline": 100, "wait": 50},
    });
    let profile: Result<Profile, _> = serde_json::from_value(json);
    Work {
        name: "p".parse().expect("the name is valid"),
        profile: Arc::new(profile.expect("the profile is valid")),
        times,
        load,
    }
}

#[test]
fn arrivals_depend_on_the_seed_the_load_and_the_rate() {
    let works = [
        work(
            RunTimes::LogNormal {
                mean: 20.0,
                sigma: 0.5,
            },
            0.5,
        ),
        work(
            RunTimes::Pareto {
                least: 100.0,
                most: 5_000.0,
                alpha: 1.5,
            },
            0.3,
        ),
    ];
    let rate = |_, at| if at < 50_000 { 1.0 } else { 2.0 };
    let requests = arrivals::generate(&works, 100, 100_000, 1, &rate);
    assert_eq!(requests, arrivals::generate(&works, 100, 100_000, 1, &rate));
    assert_ne!(requests, arrivals::generate(&works, 100, 100_000, 2, &rate));
    assert!(requests.is_sorted_by_key(|r| r.at));
    for (i, share) in [(0, 0.5), (1, 0.3)] {
        for (half, factor) in [(0..50_000, 1.0), (50_000..100_000, 2.0)] {
            let chosen = requests
                .iter()
                .filter(|r| r.work == i && half.contains(&r.at));
            let busy: u64 = chosen.map(|r| r.run_time).sum();
            let load = busy as f64 / (50_000.0 * 100.0) / factor;
            assert!((load / share - 1.0).abs() < 0.1, "{i}: {load}");
        }
    }
}

#[test]
fn refused_requests_count_with_their_deadline() {
    let works = [work(
        RunTimes::LogNormal {
            mean: 20.0,
            sigma: 0.5,
        },
        0.5,
    )];
    let request = |at| Request {
        at,
        work: 0,
        run_time: 20,
    };
    let requests = [request(0), request(10), request(20), request(30)];
    let mut tally = Tally::new(&works, &requests);
    let mut serve = |index, placed, ended| {
        tally.started(
            placed,
            &Start {
                attempt: (),
                index,
                worker: 0,
                timeout: 1,
                repeat: false,
            },
        );
        tally.ended(
            ended,
            &Completion {
                index,
                answered: true,
            },
        );
    };
    serve(0, 5, 25);
    serve(1, 200, 220);
    tally.ended(
        21,
        &Completion {
            index: 2,
            answered: false,
        },
    );
    let waits = tally.wait_times(None, 0..40);
    assert_eq!((waits.len(), waits.min(), waits.max()), (4, 5, 190));
    assert_eq!(waits.value_at_quantile(0.5), 100);
    assert_eq!(tally.latencies(None, 0..40).max(), 210);
    assert!((tally.in_time(None, 0..40) - 0.25).abs() < 1e-9);
    assert!((tally.useful_time(0..15) - 10.0).abs() < 1e-9);
    assert_eq!(tally.goodput(300)[0], 1);
}

#[test]
fn a_line_reports_whether_its_target_is_met() {
    let line = |judged, target| Line {
        measure: "X",
        unit: "things",
        ours: judged,
        baseline: 2.0,
        against: "nothing".to_owned(),
        judged,
        target,
    };
    let rows = [
        ("at most, met", line(1.0, Target::Most(1.0)), Verdict::Held),
        (
            "at most, not met",
            line(1.1, Target::Most(1.0)),
            Verdict::Short,
        ),
        (
            "at least, met",
            line(1.0, Target::Least(1.0)),
            Verdict::Held,
        ),
        (
            "at least, not met",
            line(0.9, Target::Least(1.0)),
            Verdict::Short,
        ),
        (
            "not a number",
            line(f64::NAN, Target::Most(1.0)),
            Verdict::Short,
        ),
    ];
    for (name, line, expected) in rows {
        assert_eq!(line.verdict(), expected, "{name}");
    }
    let text = line(1.0, Target::Most(1.0)).to_string();
    assert!(text.starts_with("X ours=1.0000 baseline=2.0000 ratio=0.5000 target=<=1 held"));
    let json = line(1.0, Target::Most(1.0)).json();
    assert_eq!(
        (&json["ratio"], &json["verdict"]),
        (&0.5.into(), &"held".into())
    );
}

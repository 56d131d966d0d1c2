//! Violations that the judge detects, under a simulated clock.

use bamboolock::{
    ids::{
        Millis,
        Token, //
    },
    resources::{
        self,
        Resources, //
    },
    standin::{
        judge::{
            Judge,
            Kind, //
        },
        worker::{
            Spec,
            Worker, //
        },
        world::{
            Refusal,
            Request,
            World, //
        }, //
    },
    wire::worker::{
        Forget,
        Launch,
        LeaseResponse,
        Start,
        Started, //
    }, //
};
use serde_json::json;

use crate::client::{
    lease,
    task, //
};

/// Lag of the list of instances, in milliseconds.
const LAG_MS: u64 = 1_000;

fn world() -> World {
    let spec = |id: &str| Spec {
        id: id.parse().unwrap(),
        zone: "north-a".parse().unwrap(),
        region: "north".parse().unwrap(),
        capacity: Resources::from_parts([4_000, 4_000, 4, 4, 4]),
    };
    let mut world = World {
        workers: vec![
            Worker::new(spec("w0"), 0, 1_000),
            Worker::new(spec("w1"), 0, 1_000),
        ],
        judge: Judge::default(),
        lag: LAG_MS,
    };
    for worker in 0..2 {
        let grant = world.lease(Millis(0), worker, &lease("e1", 1, None, 1 << 40));
        assert!(matches!(grant, LeaseResponse::Granted(_)));
    }
    world
}

fn start(world: &mut World, now: u64, worker: usize, launch: &Launch) -> Started {
    let start = Start {
        token: Token(1),
        tasks: vec![launch.clone()],
    };
    world
        .start(Millis(now), Millis(now), worker, &start)
        .results[0]
}

fn request(id: &str, key: Option<&str>, nonidempotent: bool) -> Request {
    Request {
        token: Token(1),
        id: id.to_owned(),
        profile: "letters".to_owned(),
        work: format!("work of {id}"),
        key: key.map(str::to_owned),
        nonidempotent,
        demand: Resources::from_parts([0, 0, 0, 1, 1]),
    }
}

fn kinds(world: &World) -> Vec<Kind> {
    let verdict = world.judge.verdict();
    assert_eq!(verdict.counters.violations, verdict.violations.len() as u64);
    verdict.violations.iter().map(|v| v.kind).collect()
}

#[test]
fn over_commit_is_detected_in_every_resource() {
    for (at, name) in resources::NAMES.iter().enumerate() {
        let mut world = world();
        let mut parts = [0; 5];
        parts[at] = if at < 2 { 2_001 } else { 3 };
        let mut launch = task("r1", 1, json!({}));
        launch.demand = Resources::from_parts(parts);
        assert_eq!(start(&mut world, 0, 0, &launch), Started::Started, "{name}");
        assert!(kinds(&world).is_empty(), "{name}");
        launch.id.run = "r2".parse().unwrap();
        assert_eq!(start(&mut world, 1, 0, &launch), Started::Full, "{name}");
        assert_eq!(kinds(&world), [Kind::OverCommit], "{name}");
        assert!(
            world.judge.verdict().violations[0].detail.contains(name),
            "{name}"
        );
    }
}

#[test]
fn tasks_and_requests_share_the_slots() {
    let mut world = world();
    let mut launch = task("r1", 1, json!({}));
    launch.demand = Resources::from_parts([0, 0, 0, 3, 0]);
    start(&mut world, 0, 0, &launch);
    let one = world.admit(Millis(1), Millis(1), 0, &request("q1", None, false));
    let two = world.admit(Millis(1), Millis(1), 0, &request("q2", None, false));
    assert_eq!(two, Err(Refusal::Full));
    assert!(world.finish(Millis(2), 0, one.unwrap()));
    assert!(
        world
            .admit(Millis(3), Millis(3), 0, &request("q3", None, false))
            .is_ok()
    );
    assert_eq!(kinds(&world), [Kind::OverCommit]);
}

#[test]
fn overlapping_and_repeated_attempts_are_detected() {
    struct Case {
        name: &'static str,
        /// Worker, attempt and time of the second start; the first is attempt 1 on worker 0 at 0.
        second: (usize, u32, u64),
        expected: &'static [Kind],
    }
    let cases = [
        Case {
            name: "next attempt elsewhere too early",
            second: (1, 2, 999),
            expected: &[Kind::DoubleExecution],
        },
        Case {
            name: "next attempt on the same worker too early",
            second: (0, 2, 999),
            expected: &[Kind::DoubleExecution],
        },
        Case {
            name: "next attempt after the end",
            second: (1, 2, 1_000),
            expected: &[],
        },
        Case {
            name: "the same attempt elsewhere at once",
            second: (1, 1, 999),
            expected: &[Kind::DoubleExecution, Kind::RepeatedAttempt],
        },
        Case {
            name: "the same attempt elsewhere after the end",
            second: (1, 1, 1_000),
            expected: &[Kind::RepeatedAttempt],
        },
        Case {
            name: "a repeated start",
            second: (0, 1, 500),
            expected: &[],
        },
    ];
    for case in cases {
        let mut world = world();
        start(&mut world, 0, 0, &task("r1", 1, json!({})));
        let (worker, attempt, now) = case.second;
        start(&mut world, now, worker, &task("r1", attempt, json!({})));
        assert_eq!(kinds(&world), case.expected, "{}", case.name);
    }
}

#[test]
fn tasks_of_one_job_may_run_at_once() {
    let mut world = world();
    let mut launch = task("r1", 1, json!({}));
    for index in 0..3 {
        launch.id.index = index;
        start(&mut world, 0, 0, &launch);
    }
    assert!(kinds(&world).is_empty());
}

#[test]
fn a_forgotten_attempt_does_not_run_again() {
    let mut world = world();
    let launch = task("r1", 1, json!({}));
    start(&mut world, 0, 0, &launch);
    let forget = Forget {
        token: Token(1),
        tasks: vec![launch.id.clone()],
    };
    world.forget(Millis(1_000), 0, &forget);
    assert_eq!(start(&mut world, 1_001, 0, &launch), Started::Started);
    let counters = world.judge.verdict().counters;
    assert_eq!((counters.starts, counters.forgotten), (1, 1));
    assert_eq!(world.workers[0].load(Millis(1_002)), (0, 0));
}

#[test]
fn a_nonidempotent_request_runs_once() {
    let cases = [
        ("other id, other key", request("q2", Some("k2"), true), true),
        ("other id, no key", request("q2", None, true), true),
        ("same id", request("q1", Some("k2"), true), false),
        ("same key", request("q2", Some("k1"), true), false),
        (
            "same but idempotent",
            request("q1", Some("k1"), false),
            true,
        ),
    ];
    for (name, second, clean) in cases {
        let mut world = world();
        let first = request("q1", Some("k1"), true);
        world.admit(Millis(0), Millis(0), 0, &first).unwrap();
        world.admit(Millis(1), Millis(1), 1, &second).unwrap();
        assert_eq!(kinds(&world).is_empty(), clean, "{name}");
    }
}

#[test]
fn work_that_ran_though_refused_is_detected() {
    let mut world = world();
    world
        .admit(Millis(0), Millis(0), 1, &request("q1", None, false))
        .unwrap();
    let refused = ["work of q1".into(), "work of q2".into()];
    assert_eq!(world.judge.check_refused(Millis(1), &refused), 1);
    assert_eq!(kinds(&world), [Kind::RanThoughRefused]);
    assert_eq!(world.judge.verdict().violations[0].worker.as_str(), "w1");
}

#[test]
fn work_for_a_leaving_worker_is_refused_and_late_work_is_a_violation() {
    let cases = [("in time", 4_000, 0), ("too late", 4_001, 2)];
    for (name, arrived, violations) in cases {
        let mut world = world();
        world.workers[0].leaving = Some(Millis(0));
        let answer = start(&mut world, arrived, 0, &task("r1", 1, json!({})));
        assert_eq!(answer, Started::Leaving, "{name}");
        let request = request("q1", None, false);
        let admitted = world.admit(Millis(arrived), Millis(arrived), 0, &request);
        assert_eq!(admitted, Err(Refusal::Leaving), "{name}");
        assert_eq!(
            kinds(&world),
            vec![Kind::SentToLeaving; violations],
            "{name}"
        );
    }
}

#[test]
fn a_stale_token_is_no_violation() {
    let mut world = world();
    world.lease(Millis(0), 0, &lease("e1", 2, None, 1 << 40));
    assert_eq!(
        start(&mut world, 1, 0, &task("r1", 1, json!({}))),
        Started::Fenced
    );
    let admitted = world.admit(Millis(1), Millis(1), 0, &request("q1", None, true));
    assert_eq!(admitted, Err(Refusal::Fenced));
    assert!(kinds(&world).is_empty());
    assert_eq!(world.judge.verdict().counters.fenced, 2);
}

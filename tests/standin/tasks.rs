//! Tasks on one worker, under a simulated clock.

use bamboolock::{
    ids::Millis,
    resources::Resources,
    standin::worker::{
        Spec,
        StartResult,
        Worker, //
    },
    wire::worker::{
        LeaseResponse,
        Report,
        Signal,
        State,
        Task, //
    }, //
};
use serde_json::{
    Value,
    json, //
};

use crate::client::{
    lease,
    task, //
};

/// Default run time and lag of the reported usage, in milliseconds.
const RUN_MS: u64 = 1_000;
const USAGE_LAG_MS: u64 = 500;

fn worker() -> Worker {
    let spec = Spec {
        id: "w1".parse().unwrap(),
        zone: "north-a".parse().unwrap(),
        region: "north".parse().unwrap(),
        capacity: Resources::from_parts([4_000, 8_192, 1, 4, 16]),
    };
    Worker::new(spec, USAGE_LAG_MS, RUN_MS)
}

/// Returns the worker's report at `now`, through a lease message that keeps tasks alive for 60 s.
fn report(worker: &mut Worker, now: u64) -> Report {
    match worker.lease(Millis(now), &lease("e1", 1, None, 60_000)) {
        LeaseResponse::Granted(report) => report,
        other => panic!("not granted: {other:?}"),
    }
}

fn single_task(worker: &mut Worker, now: u64) -> Task {
    let tasks = report(worker, now).tasks;
    assert_eq!(tasks.len(), 1);
    tasks[0].clone()
}

#[test]
fn a_payload_says_when_and_how_a_task_ends() {
    let cases = [
        ("default", 1, json!({}), 1_000, State::Done, ""),
        ("opaque", 1, json!("plan 7"), 1_000, State::Done, ""),
        ("own time", 1, json!({"run_ms": 30}), 30, State::Done, ""),
        (
            "fails",
            1,
            json!({"run_ms": 30, "fail": true}),
            30,
            State::Failed,
            "task failed",
        ),
        (
            "early attempt",
            2,
            json!({"fail_until_attempt": 3}),
            1_000,
            State::Failed,
            "task failed",
        ),
        (
            "late attempt",
            3,
            json!({"fail_until_attempt": 3}),
            1_000,
            State::Done,
            "",
        ),
        (
            "too large",
            1,
            json!({"memory": 1_025}),
            500,
            State::Failed,
            "out of memory",
        ),
        (
            "just fits",
            1,
            json!({"memory": 1_024}),
            1_000,
            State::Done,
            "",
        ),
    ];
    for (name, attempt, payload, end, state, reason) in cases {
        let mut worker = worker();
        let launch = task("r1", attempt, payload);
        assert_eq!(
            worker.start(Millis(0), &launch),
            StartResult::Begun,
            "{name}"
        );
        assert_eq!(
            single_task(&mut worker, end - 1).state,
            State::Running,
            "{name}"
        );
        let task = single_task(&mut worker, end);
        assert_eq!(
            (task.state, task.reason.as_str()),
            (state, reason),
            "{name}"
        );
    }
}

#[test]
fn signals_change_the_end_of_a_task() {
    let plan = json!({"run_ms": 1_000, "stop_ms": 10});
    let cases = [
        ("stop", Signal::Stop, 410, State::Stopped, 0),
        ("suspend", Signal::Suspend, 410, State::Stopped, 400),
        ("checkpoint", Signal::Checkpoint, 1_000, State::Done, 400),
        ("throttle", Signal::Throttle, 1_600, State::Done, 0),
    ];
    for (name, signal, end, state, checkpoint) in cases {
        let mut worker = worker();
        let launch = task("r1", 1, plan.clone());
        worker.start(Millis(0), &launch);
        worker.signal(Millis(400), &launch.id, signal);
        assert!(single_task(&mut worker, end - 1).state.active(), "{name}");
        let task = single_task(&mut worker, end);
        assert_eq!((task.state, task.checkpoint), (state, checkpoint), "{name}");
    }
}

#[test]
fn a_task_resumes_from_a_checkpoint() {
    let mut worker = worker();
    let mut launch = task("r1", 2, json!({"run_ms": 1_000}));
    launch.resume = 400;
    worker.start(Millis(0), &launch);
    assert_eq!(single_task(&mut worker, 599).state, State::Running);
    assert_eq!(single_task(&mut worker, 600).state, State::Done);
}

#[test]
fn a_slow_worker_takes_longer_from_then_on() {
    let mut worker = worker();
    worker.start(Millis(0), &task("r1", 1, json!({"run_ms": 1_000})));
    worker.set_slow(Millis(500), 400);
    assert_eq!(single_task(&mut worker, 2_499).state, State::Running);
    assert_eq!(single_task(&mut worker, 2_500).state, State::Done);
}

#[test]
fn a_task_lapses_unless_the_lease_is_renewed() {
    let forever = json!({"forever": true});
    let mut launch = task("r1", 1, forever);
    launch.ttl = 100;
    let mut lapsing = worker();
    lapsing.start(Millis(0), &launch);
    assert!(lapsing.is_executing(Millis(99), &launch.id));
    assert!(!lapsing.is_executing(Millis(100), &launch.id));
    assert_eq!(single_task(&mut lapsing, 101).state, State::Lapsed);

    let mut renewed = worker();
    renewed.start(Millis(0), &launch);
    report(&mut renewed, 99);
    assert!(renewed.is_executing(Millis(60_098), &launch.id));
    assert!(!renewed.is_executing(Millis(60_099), &launch.id));
}

#[test]
fn a_start_is_idempotent_also_after_its_end() {
    let mut worker = worker();
    let launch = task("r1", 1, json!({"run_ms": 10}));
    let steps = [
        (0, StartResult::Begun),
        (5, StartResult::Repeated),
        (20, StartResult::Repeated),
    ];
    for (now, expected) in steps {
        assert_eq!(worker.start(Millis(now), &launch), expected, "at {now}");
    }
    worker.forget(Millis(21), &launch.id);
    assert!(report(&mut worker, 22).tasks.is_empty());
    assert_eq!(worker.start(Millis(23), &launch), StartResult::Forgotten);
    assert!(!worker.is_executing(Millis(24), &launch.id));
}

#[test]
fn a_running_task_is_not_forgotten() {
    let mut worker = worker();
    let launch = task("r1", 1, json!({}));
    worker.start(Millis(0), &launch);
    worker.forget(Millis(1), &launch.id);
    assert_eq!(single_task(&mut worker, 2).state, State::Running);
}

#[test]
fn a_restart_loses_the_tasks_and_fences_old_tokens() {
    let mut worker = worker();
    let before = report(&mut worker, 0);
    worker.start(Millis(0), &task("r1", 1, json!({})));
    worker.restart(Millis(1));
    assert!(!worker.is_valid(Millis(2), before.token));
    let after = report(&mut worker, 3);
    assert!(after.tasks.is_empty());
    assert!(after.incarnation > before.incarnation && after.token > before.token);
}

#[test]
fn usage_is_reported_with_a_lag() {
    let mut worker = worker();
    report(&mut worker, 0);
    worker.start(
        Millis(1_000),
        &task("r1", 1, json!({"run_ms": 100_000, "memory": 100})),
    );
    let cases: [(u64, Value); 3] = [(1_001, json!(0)), (1_499, json!(0)), (1_500, json!(100))];
    for (now, memory) in cases {
        assert_eq!(
            json!(report(&mut worker, now).usage.memory),
            memory,
            "at {now}"
        );
    }
}

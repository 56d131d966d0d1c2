//! Fixtures of the cell tests.

use std::time::Duration;

use bamboolock::{
    cell::{
        engine::{
            Action,
            Engine,
            Times, //
        },
        job::{
            JobKey,
            RunKey,
            WorkerKey, //
        },
        model,
        neighbours, //
    },
    resources::Resources, //
};
use slotmap::SlotMap;

/// Local time at which tests begin, in milliseconds.
pub(super) const START: u64 = 1_000_000;

pub(super) const TIMES: Times = Times {
    lease: 6_000,
    gang: 3_000,
    stop: 200,
    keep: 120_000,
    contact: 4_000,
};

pub(super) fn demand(millicores: u32) -> Resources {
    Resources {
        millicores,
        memory: 100,
        ..Resources::default()
    }
}

pub(super) fn step(count: u32, millicores: u32) -> model::Step {
    model::Step {
        count,
        demand: demand(millicores),
        estimate: 1_000,
        ..model::Step::default()
    }
}

pub(super) fn work(steps: Vec<model::Step>) -> model::Submission {
    model::Submission {
        spec: "spec".to_owned(),
        steps,
        ..model::Submission::default()
    }
}

pub(super) fn queue(name: &str, priority: u32) -> model::Queue {
    model::Queue {
        name: name.into(),
        host: "host".into(),
        prefix: "/q/".into(),
        service: "service".into(),
        priority,
        attempts: 2,
        stretch: 2.0,
        target: 1_000,
        policy_cost: None,
    }
}

pub(super) fn advised(mut queue: model::Queue) -> model::Queue {
    queue.policy_cost = Some(model::PolicyCost {
        base: 300.0,
        per_worker: 5.0,
        validity: Duration::from_millis(2_000),
    });
    queue
}

pub(super) fn worker(id: &str, incarnation: u64, millicores: u32) -> model::Registration {
    model::Registration {
        id: id.into(),
        incarnation,
        service: "service".into(),
        address: "127.0.0.1:1".into(),
        zone: "a".into(),
        availability: model::Availability::Ready,
        capacity: Resources {
            millicores,
            memory: 100_000,
            ..Resources::default()
        },
        labels: vec!["kind".into(), "rack".into()],
    }
}

pub(super) fn report(incarnation: u64, clock: u64) -> model::Report {
    model::Report {
        incarnation,
        clock,
        ..model::Report::default()
    }
}

pub(super) fn task(job: &str, step: u32, index: u32) -> model::TaskName {
    model::TaskName {
        job: job.into(),
        occurrence: 0,
        step,
        index,
    }
}

pub(super) fn live(job: &str, step: u32, index: u32, run: u32) -> model::LiveRun {
    model::LiveRun {
        task: task(job, step, index),
        run,
        checkpoint: "".into(),
        used: None,
    }
}

pub(super) fn end(
    number: u64,
    name: model::TaskName,
    run: u32,
    outcome: model::Outcome,
) -> model::EndedRun {
    model::EndedRun {
        number,
        task: name,
        run,
        outcome,
        checkpoint: "".into(),
    }
}

/// Creates an owner in its first term whose workers have all reported.
pub(super) fn owner(workers: &[(&str, u32)]) -> Engine {
    let mut engine = Engine::new(1, TIMES);
    engine.set_wall_clock(START, START);
    engine.proven_at = u64::MAX / 2;
    for (id, millicores) in workers {
        engine.register(worker(id, 1, *millicores));
        let key = engine.cluster.find_worker(id).unwrap();
        answer(&mut engine, key, report(1, 500), START);
    }
    // Workers take tasks only once their registration is stored.
    store(&mut engine, START);
    engine.actions.clear();
    engine
}

/// Polls a worker, which answers with `report`.
pub(super) fn answer(engine: &mut Engine, key: WorkerKey, report: model::Report, now: u64) {
    let order = engine.poll_command(key, now).unwrap();
    engine.apply_report(key, order.sent_at, order.acked, &report, now);
}

/// Stores the next batch.
pub(super) fn store(engine: &mut Engine, now: u64) -> Vec<(String, Option<Vec<u8>>)> {
    let Some((batch, entries)) = engine.take_batch() else {
        return Vec::new();
    };
    engine.batch_stored(batch, now);
    let entries = entries.into_iter();
    entries
        .map(|(key, value)| (key.to_string(), value))
        .collect()
}

/// Adds a worker that has reported and whose registration is stored.
pub(super) fn join(engine: &mut Engine, id: &str, now: u64) {
    engine.register(worker(id, 1, 16_000));
    let key = engine.cluster.find_worker(id).unwrap();
    answer(engine, key, report(1, 500), now);
    store(engine, now);
}

/// Creates a second owner that has loaded what the first one stored.
pub(super) fn successor<'a>(
    records: impl Iterator<Item = (&'a str, Option<&'a [u8]>)>,
    now: u64,
) -> Engine {
    let mut engine = Engine::new(2, TIMES);
    engine.set_wall_clock(now, now);
    engine.proven_at = u64::MAX / 2;
    engine.load(records, now);
    engine
}

/// Submits a job and stores it.
pub(super) fn submit(
    engine: &mut Engine,
    id: &str,
    queue: model::Queue,
    work: model::Submission,
    now: u64,
) {
    engine.submit(id, queue, work, now).unwrap();
    store(engine, now);
}

/// Runs a placement pass and returns the runs that are to start.
pub(super) fn starts(engine: &mut Engine, now: u64) -> Vec<RunKey> {
    engine.schedule(now);
    let actions = std::mem::take(&mut engine.actions).into_iter();
    let starts = actions.filter_map(|action| match action {
        Action::Start(run) => Some(run),
        _ => None,
    });
    starts.collect()
}

/// Lets workers accept start commands.
pub(super) fn accept(engine: &mut Engine, runs: &[RunKey], now: u64) {
    for run in runs {
        engine.start_command(*run, now).unwrap();
        let reply = model::Reply {
            verdict: model::Verdict::Accepted,
            clock: None,
        };
        engine.start_answered(*run, Ok(reply), now);
    }
}

/// Lets an owner know that the tasks of queue `b` double the run times of those of queue `a`. The runs
/// that show it are not the owner's own.
pub(super) fn teach(engine: &mut Engine, now: u64) {
    engine.watch_neighbours();
    let mut keys = SlotMap::<WorkerKey, ()>::with_key();
    let workers: Vec<WorkerKey> = (0..8).map(|_| keys.insert(())).collect();
    let mut jobs = SlotMap::<JobKey, ()>::with_key();
    let mut runs = SlotMap::<RunKey, ()>::with_key();
    let (a, b, step) = (queue("a", 0), queue("b", 0), step(1, 1_000));
    let kind = |queue| neighbours::Task {
        queue,
        step: &step,
        number: 0,
        accepted: 1,
        measured: true,
    };
    for n in 0..48 {
        let (worker, job) = (workers[n / 2 % 8], jobs.insert(()));
        let (slow, other) = (n % 2 == 0, runs.insert(()));
        let run = runs.insert(());
        if slow {
            engine.neighbours.begin(other, worker, &kind(&b), now);
        }
        engine.neighbours.begin(run, worker, &kind(&a), now);
        let success = neighbours::Success {
            worker,
            job,
            took: if slow { 2_000 } else { 1_000 },
            estimate: 1_000,
        };
        // They end at the same time, so that the one kind shows what is usual then.
        engine.neighbours.end(run, Some(success), now + 2_000);
        engine.neighbours.end(other, None, now + 2_000);
    }
    engine.neighbours.tick(now + 2_000);
    let pairs = engine.neighbours.pairs();
    let names = pairs.iter().map(|p| (p.slowed.as_str(), p.by.as_str()));
    assert_eq!(names.collect::<Vec<_>>(), [("a#0", "b#0")]);
}

/// Id of a run's worker.
pub(super) fn place(engine: &Engine, run: RunKey) -> String {
    let worker = engine.cluster.runs[run].worker;
    engine.cluster.workers[worker].registration.id.to_string()
}

/// Creates an owner of two workers with a task that was just placed on the first one.
pub(super) fn placed(id: &str) -> (Engine, RunKey) {
    let mut engine = owner(&[("w1", 16_000)]);
    let work = work(vec![step(1, 1_000)]);
    submit(&mut engine, id, queue("q", 0), work, START);
    let run = starts(&mut engine, START)[0];
    join(&mut engine, "w2", START);
    (engine, run)
}

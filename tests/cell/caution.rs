//! Tasks and queues whose starts crash workers: where they are placed, and how many workers they may
//! take down.

use bamboolock::cell::{
    engine::{
        Action,
        Engine, //
    },
    model::{
        Reply,
        State,
        Verdict, //
    },
};

use super::make::{
    self,
    START, //
};

fn id(n: u32) -> String {
    format!("{n:016x}")
}

/// Creates an owner of `count` workers, `w100` and following.
fn cell(count: u32) -> Engine {
    let names: Vec<String> = (0..count).map(|n| format!("w{}", 100 + n)).collect();
    let workers: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 16_000)).collect();
    make::owner(&workers)
}

fn submit(engine: &mut Engine, n: u32, queue: &str, now: u64) {
    let work = make::work(vec![make::step(1, 1_000)]);
    make::submit(engine, &id(n), make::queue(queue, 0), work, now);
}

/// Places what waits, lets the workers accept it, and returns the workers of job `n`.
fn place(engine: &mut Engine, n: u32, now: u64) -> Vec<String> {
    let mut runs = make::starts(engine, now);
    make::store(engine, now);
    let held = std::mem::take(&mut engine.actions).into_iter();
    runs.extend(held.filter_map(|action| match action {
        Action::Start(run) => Some(run),
        _ => None,
    }));
    make::accept(engine, &runs, now);
    workers_of(engine, n)
}

fn workers_of(engine: &Engine, n: u32) -> Vec<String> {
    let of_job = engine.cluster.runs.iter();
    let of_job = of_job.filter(|(_, run)| run.name.job == id(n) && run.task.is_some());
    of_job.map(|(key, _)| make::place(engine, key)).collect()
}

/// Lets a worker fall silent.
fn silence(engine: &mut Engine, worker: &str, now: u64) {
    let key = engine.cluster.find_worker(worker).unwrap();
    engine.poll_command(key, now).unwrap();
    engine.poll_failed(key, now);
}

/// Lets another worker answer at the address of a silent one.
fn replace(engine: &mut Engine, worker: &str, now: u64) {
    let key = engine.cluster.find_worker(worker).unwrap();
    engine.poll_command(key, now).unwrap();
    let reply = Reply {
        verdict: Verdict::Reborn,
        clock: None,
    };
    engine.poll_refused(key, reply, now);
    engine.unregister(worker);
}

/// Lets the worker of job `n` crash `after` milliseconds after the start, and another worker answer 3 s
/// later.
fn crash(engine: &mut Engine, n: u32, now: u64, after: u64) {
    let worker = place(engine, n, now)[0].clone();
    silence(engine, &worker, now + after);
    replace(engine, &worker, now + after + 3_000);
    make::store(engine, now + after + 3_000);
}

/// Lets three jobs of queue `bad` crash their workers, 100 ms apart.
fn alarm(engine: &mut Engine) -> u64 {
    for n in 1..=3 {
        let now = START + 100 * u64::from(n);
        submit(engine, n, "bad", now);
        let worker = place(engine, n, now)[0].clone();
        silence(engine, &worker, now + 10);
    }
    START + 400
}

#[test]
fn a_suspect_shares_no_worker_and_starts_only_once_that_is_stored() {
    let mut engine = cell(3);
    submit(&mut engine, 1, "q", START);
    crash(&mut engine, 1, START, 10);
    submit(&mut engine, 2, "q", START + 3_100);
    assert_eq!(
        make::starts(&mut engine, START + 3_100).len(),
        1,
        "the suspect waits for the store, the other job does not"
    );
    let suspect = workers_of(&engine, 1);
    assert_eq!(suspect.len(), 1);
    assert_ne!(suspect, workers_of(&engine, 2));
    make::store(&mut engine, START + 3_110);
    let actions = std::mem::take(&mut engine.actions);
    let starts = actions.iter().filter(|a| matches!(a, Action::Start(_)));
    assert_eq!(starts.count(), 1);
    submit(&mut engine, 3, "q", START + 3_200);
    assert_ne!(place(&mut engine, 3, START + 3_200), suspect);
}

#[test]
fn a_task_that_crashes_two_workers_by_its_start_fails_its_job() {
    let mut engine = cell(3);
    submit(&mut engine, 1, "q", START);
    crash(&mut engine, 1, START, 10);
    assert_eq!(engine.visible_state(&id(1)), Some(State::Running));
    crash(&mut engine, 1, START + 4_000, 10);
    assert_eq!(engine.visible_state(&id(1)), Some(State::Failed));
    assert_eq!(make::starts(&mut engine, START + 8_000), []);
}

#[test]
fn tasks_beside_one_that_crashes_their_workers_are_not_given_up() {
    let mut engine = cell(6);
    for n in 1..=8 {
        submit(&mut engine, n, "q", START);
    }
    // All are on one worker; each is then tried alone, and only the first crashes its worker again.
    crash(&mut engine, 1, START, 10);
    let mut now = START + 4_000;
    for _ in 0..8 {
        place(&mut engine, 1, now);
        for worker in workers_of(&engine, 1) {
            silence(&mut engine, &worker, now + 10);
            replace(&mut engine, &worker, now + 3_010);
        }
        make::store(&mut engine, now + 3_020);
        for n in 2..=8 {
            for worker in workers_of(&engine, n) {
                let key = engine.cluster.find_worker(&worker).unwrap();
                let task = make::task(&id(n), 0, 0);
                let run = engine.cluster.workers[key].runs[0];
                let number = engine.cluster.runs[run].number;
                let mut report = make::report(1, 10_000);
                report.ended = vec![make::end(
                    u64::from(n),
                    task,
                    number,
                    bamboolock::cell::model::Outcome::Done,
                )];
                make::answer(&mut engine, key, report, now + 3_030);
            }
        }
        make::store(&mut engine, now + 3_040);
        now += 4_000;
    }
    assert_eq!(engine.visible_state(&id(1)), Some(State::Failed));
    for n in 2..=8 {
        assert_eq!(engine.visible_state(&id(n)), Some(State::Completed), "{n}");
    }
}

#[test]
fn a_queue_that_crashes_workers_shares_none_with_other_queues() {
    let mut engine = cell(24);
    let now = alarm(&mut engine);
    for n in 11..=16 {
        submit(&mut engine, n, "bad", now);
        submit(&mut engine, n + 10, "good", now);
    }
    place(&mut engine, 0, now);
    let mut bad: Vec<String> = (11..=16).flat_map(|n| workers_of(&engine, n)).collect();
    let good: Vec<String> = (21..=26).flat_map(|n| workers_of(&engine, n)).collect();
    assert_eq!(good.len(), 6);
    assert!(bad.iter().all(|worker| !good.contains(worker)));
    bad.sort();
    bad.dedup();
    // A third of the workers is eight, of which three have just crashed.
    assert_eq!(bad.len(), 5, "spread over all that it may use");
}

#[test]
fn a_silence_that_ends_without_a_crash_ends_the_caution() {
    let mut engine = cell(24);
    let now = alarm(&mut engine);
    engine.schedule(now);
    assert_eq!(
        engine.careful_queues(),
        0,
        "nothing waits, nothing is judged"
    );
    submit(&mut engine, 11, "bad", now);
    engine.schedule(now);
    assert_eq!(engine.careful_queues(), 1);
    let workers = engine.cluster.workers.iter();
    let silent: Vec<_> = workers
        .filter(|(_, w)| w.silent_since.is_some())
        .map(|(key, _)| key)
        .collect();
    for key in silent {
        make::answer(&mut engine, key, make::report(1, 2_000), now + 500);
    }
    submit(&mut engine, 12, "bad", now + 500);
    engine.schedule(now + 500);
    assert_eq!(engine.careful_queues(), 0);
}

#[test]
fn a_rack_that_crashes_makes_no_task_a_suspect() {
    let mut engine = cell(24);
    for n in 1..=64 {
        submit(&mut engine, n, "q", START);
    }
    place(&mut engine, 0, START);
    submit(&mut engine, 65, "q", START + 460);
    submit(&mut engine, 66, "q", START + 460);
    place(&mut engine, 0, START + 460);
    let rack: Vec<String> = (100..105).map(|n| format!("w{n}")).collect();
    for worker in &rack {
        silence(&mut engine, worker, START + 500);
    }
    for worker in &rack {
        replace(&mut engine, worker, START + 3_500);
    }
    make::store(&mut engine, START + 3_510);
    assert_eq!(engine.waiting_trials(), 0);
    assert_eq!(engine.careful_queues(), 0);
    assert_eq!(make::starts(&mut engine, START + 3_550).len(), 66);
}

#[test]
fn suspects_in_a_full_cell_take_few_workers_and_are_tried_nevertheless() {
    let mut engine = cell(24);
    // Sixteen jobs are on one worker when it crashes, the other workers are full.
    for n in 1..=16 {
        submit(&mut engine, n, "q", START);
    }
    crash(&mut engine, 1, START, 10);
    for n in 100..1_000 {
        submit(&mut engine, n, "q", START + 3_100);
    }
    let mut tried = 0;
    for round in 0..40 {
        let now = START + 3_200 + round * 100;
        place(&mut engine, 0, now);
        let trials = engine.cluster.runs.values().filter(|run| run.trial).count();
        assert!(trials <= 3, "an eighth of 24 workers, not {trials}");
        tried = tried.max(trials);
        // The oldest run of each worker succeeds.
        for key in engine.cluster.workers.keys().collect::<Vec<_>>() {
            let worker = &engine.cluster.workers[key];
            let Some(run) = worker.runs.first().map(|run| &engine.cluster.runs[*run]) else {
                continue;
            };
            if !worker.registered || run.trial {
                continue;
            }
            let number = worker.last_outcome + 1;
            let (name, run) = (run.name.clone(), run.number);
            let mut report = make::report(1, 10_000 + round * 100);
            report.running = worker
                .runs
                .iter()
                .skip(1)
                .map(|run| &engine.cluster.runs[*run])
                .map(|run| make::live(&run.name.job, 0, 0, run.number))
                .collect();
            report.ended = vec![make::end(
                number,
                name,
                run,
                bamboolock::cell::model::Outcome::Done,
            )];
            if engine.cluster.workers[key].polling {
                continue;
            }
            make::answer(&mut engine, key, report, now + 50);
        }
        make::store(&mut engine, now + 60);
    }
    assert!(tried > 0, "a worker was emptied for them");
}

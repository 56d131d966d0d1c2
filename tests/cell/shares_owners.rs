//! Caps of organisations across changes of owner.

use bamboolock::cell::{
    engine::Engine,
    job::RunKey,
    model, //
};

use super::{
    driver::{
        Back,
        Cell, //
    },
    make::{
        self,
        START, //
    },
    shares::{
        self,
        id, //
    }, //
};

type Records = Vec<(String, Option<Vec<u8>>)>;

/// An owner that has started a job of organisation `a`, at its cap, on `w2`; with its records.
fn predecessor(step: model::Step) -> (Engine, Records) {
    let (mut engine, log) = accepted(vec![step]);
    let runs = make::starts(&mut engine, START);
    assert_eq!(runs.len(), 4);
    make::accept(&mut engine, &runs, START);
    (engine, log)
}

/// An owner that has accepted a job of organisation `a`, for which only `w2` has room; with its records.
fn accepted(steps: Vec<model::Step>) -> (Engine, Records) {
    let mut engine = make::owner(&[]);
    engine.set_organisations(&shares::capped());
    engine.set_catalog_proven_at(START);
    let mut log = Vec::new();
    for name in ["w1", "w2"] {
        let millicores = if name == "w1" { 1 } else { 16_000 };
        engine.register(make::worker(name, 1, millicores));
        let key = engine.cluster.find_worker(name).unwrap();
        make::answer(&mut engine, key, make::report(1, 500), START);
    }
    log.extend(make::store(&mut engine, START));
    let work = make::work(steps);
    engine
        .submit(&id(1), make::queue("q", 0), work, START)
        .unwrap();
    engine.set_organisation(&id(1), "a");
    log.extend(make::store(&mut engine, START));
    (engine, log)
}

/// The next owner, which has heard from `w1` alone; that worker has room again.
fn successor(log: &Records) -> Engine {
    let records = log.iter();
    let records = records.map(|(key, value)| (key.as_str(), value.as_deref()));
    let mut engine = make::successor(records, START + 100);
    engine.set_organisations(&shares::capped());
    engine.set_catalog_proven_at(START + 100);
    for name in ["w1", "w2"] {
        engine.register(make::worker(name, 1, 16_000));
    }
    let key = engine.cluster.find_worker("w1").unwrap();
    make::answer(&mut engine, key, make::report(1, 600), START + 100);
    make::store(&mut engine, START + 100);
    engine.tick(START + 100);
    engine
}

fn submit_new(engine: &mut Engine) {
    for (n, name) in [(2, "a"), (3, "b")] {
        let work = make::work(vec![make::step(4, 1_000)]);
        engine
            .submit(&id(n), make::queue("q", 0), work, START + 100)
            .unwrap();
        engine.set_organisation(&id(n), name);
    }
    make::store(engine, START + 100);
}

/// Ids of the jobs with runs to start, without repetitions.
fn started(engine: &mut Engine, now: u64) -> Vec<String> {
    let runs = make::starts(engine, now);
    let jobs = runs
        .iter()
        .map(|run| engine.cluster.runs[*run].name.job.to_string());
    let mut jobs: Vec<String> = jobs.collect();
    jobs.dedup();
    jobs
}

/// Lets `w2` report the four runs of the first job, or their ends.
fn report(engine: &mut Engine, ended: Option<model::Outcome>, now: u64) {
    let key = engine.cluster.find_worker("w2").unwrap();
    let mut report = make::report(1, now - START + 500);
    for index in 0..4 {
        match ended {
            None => report.running.push(make::live(&id(1), 0, index, 1)),
            Some(outcome) => {
                let name = make::task(&id(1), 0, index);
                let end = make::end(u64::from(index) + 1, name, 1, outcome);
                report.ended.push(end);
            }
        }
    }
    make::answer(engine, key, report, now);
    make::store(engine, now);
    engine.tick(now);
    engine.actions.clear();
}

/// Runs of an earlier owner that no worker has reported yet must count.
#[test]
fn tasks_that_an_earlier_owner_may_have_started_count_until_the_workers_have_reported() {
    let (_, log) = predecessor(make::step(4, 1_000));
    let mut engine = successor(&log);
    submit_new(&mut engine);
    assert_eq!(started(&mut engine, START + 100), [id(3)]);
    report(&mut engine, None, START + 300);
    assert!(engine.is_reconciled());
    assert_eq!(started(&mut engine, START + 400), Vec::<String>::new());
    report(&mut engine, Some(model::Outcome::Done), START + 500);
    assert_eq!(started(&mut engine, START + 600), [id(2)]);
}

/// A few silent workers must not keep an organisation with a long backlog from starting anything.
#[test]
fn runs_that_may_exist_count_for_no_more_than_silent_workers_can_hold() {
    let (_, log) = accepted(vec![make::step(10, 1_000)]);
    let records = log.iter();
    let records = records.map(|(key, value)| (key.as_str(), value.as_deref()));
    let mut engine = make::successor(records, START + 100);
    engine.set_organisations(&shares::capped());
    engine.set_catalog_proven_at(START + 100);
    engine.register(make::worker("w1", 1, 1));
    engine.register(make::worker("w2", 1, 16_000));
    let key = engine.cluster.find_worker("w2").unwrap();
    make::answer(&mut engine, key, make::report(1, 600), START + 100);
    make::store(&mut engine, START + 100);
    engine.tick(START + 100);
    assert!(!engine.is_reconciled());
    submit_new(&mut engine);
    assert_eq!(started(&mut engine, START + 200), [id(2), id(3)]);
}

/// The earlier owner may have started steps whose dependencies are not met by what it could store.
#[test]
fn steps_after_an_end_that_was_not_stored_count() {
    let mut second = make::step(4, 1_000);
    second.depends_on = vec![0];
    let (mut first, log) = accepted(vec![make::step(1, 500), second]);
    let runs = make::starts(&mut first, START);
    make::accept(&mut first, &runs, START);
    let key = first.cluster.find_worker("w2").unwrap();
    let mut done = make::report(1, 510);
    let name = make::task(&id(1), 0, 0);
    done.ended = vec![make::end(1, name, 1, model::Outcome::Done)];
    make::answer(&mut first, key, done, START + 10);
    assert_eq!(make::starts(&mut first, START + 10).len(), 4);
    let mut engine = successor(&log);
    submit_new(&mut engine);
    assert_eq!(started(&mut engine, START + 100), [id(3)]);
}

/// Tasks of which copies may run start before the workers have reported; both runs must count.
#[test]
fn a_copy_counts_beside_the_run_that_may_exist() {
    let step = model::Step {
        copies: true,
        ..make::step(4, 1_000)
    };
    let (_, log) = predecessor(step);
    let mut engine = successor(&log);
    assert_eq!(started(&mut engine, START + 100), Vec::<String>::new());
    let higher = [shares::organisation("a", 1.0, 6_000)];
    engine.set_organisations(&higher);
    let runs = make::starts(&mut engine, START + 300);
    assert_eq!(runs.len(), 2, "four may run on the worker that is silent");
    assert_eq!(make::starts(&mut engine, START + 500), []);
}

/// A successor that has started copies of the four tasks of the first job on `w1`.
fn copied(steps: Vec<model::Step>) -> (Engine, Vec<RunKey>) {
    let (mut first, log) = accepted(steps);
    let runs = make::starts(&mut first, START);
    make::accept(&mut first, &runs, START);
    let mut engine = successor(&log);
    engine.set_organisations(&[shares::organisation("a", 1.0, 8_000)]);
    let copies = make::starts(&mut engine, START + 300);
    assert_eq!(copies.len(), 4);
    make::accept(&mut engine, &copies, START + 300);
    (engine, copies)
}

fn copies() -> model::Step {
    model::Step {
        copies: true,
        ..make::step(4, 1_000)
    }
}

/// A copy may complete a task while the run of an earlier owner goes on. That run must still count,
/// whether or not the job has completed.
#[test]
fn runs_of_tasks_that_a_copy_has_completed_count() {
    let after = model::Step {
        depends_on: vec![0],
        ..make::step(1, 0)
    };
    for steps in [vec![copies(), after], vec![copies()]] {
        let completes = steps.len() == 1;
        let (mut engine, copies) = copied(steps);
        let key = engine.cluster.find_worker("w1").unwrap();
        let mut done = make::report(1, 900);
        for (index, run) in copies.iter().enumerate() {
            let name = make::task(&id(1), 0, index as u32);
            let number = engine.cluster.runs[*run].number;
            let end = make::end(index as u64 + 1, name, number, model::Outcome::Done);
            done.ended.push(end);
        }
        make::answer(&mut engine, key, done, START + 400);
        make::store(&mut engine, START + 400);
        engine.set_organisations(&shares::capped());
        submit_new(&mut engine);
        assert_eq!(started(&mut engine, START + 500), [id(3)], "{completes}");
        if completes {
            assert_eq!(engine.visible_state(&id(1)), Some(model::State::Completed));
            report(&mut engine, None, START + 600);
            assert_eq!(started(&mut engine, START + 700), Vec::<String>::new());
            report(&mut engine, Some(model::Outcome::Stopped), START + 800);
            assert_eq!(started(&mut engine, START + 900), [id(2)]);
        }
    }
}

/// The copies of a cancelled job are stopped; they are not the runs that an earlier owner may have
/// started, and both must count.
#[test]
fn copies_that_are_being_stopped_count_beside_the_runs_that_may_exist() {
    let (mut engine, _) = copied(vec![copies()]);
    engine.cancel(&id(1), START + 400).unwrap();
    submit_new(&mut engine);
    assert_eq!(started(&mut engine, START + 500), [id(3)]);
}

/// A worker that was unreachable reports that tasks have succeeded while later runs of them are under
/// way elsewhere. The job completes, and the runs that are to be stopped must count at the next owner.
#[test]
fn runs_that_a_completed_job_leaves_count_at_the_next_owner() {
    let mut cell = Cell::new(3, Back::Itself);
    cell.configure(&[shares::organisation("a", 1.0, 8_000)]);
    let work = make::work(vec![make::step(8, 1_000)]);
    cell.submit_for(&id(1), "a", work.clone());
    cell.run(100);
    let task = make::task(&id(1), 0, 0);
    let first = cell.place(&task).unwrap();
    cell.cuts[first] = cell.now + 60_000;
    cell.duration = 60_000;
    cell.run_until("started again", |cell| {
        cell.place(&task).is_some_and(|at| at != first)
    });
    let second = cell.place(&task).unwrap();
    assert_eq!(cell.used_by(&id(1)), 8_000);
    (cell.cuts[first], cell.cuts[second]) = (cell.now, cell.now + 4_000);
    cell.run_until("completed", |cell| {
        cell.state(&id(1)) == Some(model::State::Completed)
    });
    assert_eq!(cell.used_by(&id(1)), 8_000);
    cell.replace_owner();
    cell.submit_for(&id(2), "a", work);
    while cell.used_by(&id(2)) < 8_000 {
        cell.run(10);
        let used = cell.used_by(&id(1)) + cell.used_by(&id(2));
        assert!(used <= 8_000, "{used}");
    }
}

/// The runs of a job that was cancelled go on until their worker has stopped them. The owner that knew
/// of them may be gone by then.
#[test]
fn runs_of_a_job_that_has_ended_count_at_the_next_owner() {
    let (mut first, mut log) = predecessor(make::step(4, 1_000));
    first.cancel(&id(1), START + 50).unwrap();
    log.extend(make::store(&mut first, START + 50));
    first.tick(START + 60);
    log.extend(make::store(&mut first, START + 60));
    let mut engine = successor(&log);
    assert_eq!(engine.visible_state(&id(1)), Some(model::State::Cancelled));
    submit_new(&mut engine);
    assert_eq!(started(&mut engine, START + 100), [id(3)]);
    report(&mut engine, None, START + 300);
    assert_eq!(started(&mut engine, START + 400), Vec::<String>::new());
    let key = engine.cluster.find_worker("w2").unwrap();
    let mut ends = make::report(1, 1_000);
    for index in 0..4 {
        let name = make::task(&id(1), 0, index);
        let end = make::end(u64::from(index) + 1, name, 1, model::Outcome::Stopped);
        ends.ended.push(end);
    }
    make::answer(&mut engine, key, ends, START + 500);
    assert_eq!(started(&mut engine, START + 600), [id(2)]);
    engine.tick(START + 600);
    let batch = make::store(&mut engine, START + 600);
    let dropped = batch.iter().filter(|(_, value)| value.is_none());
    let dropped: Vec<&str> = dropped.map(|(key, _)| key.as_str()).collect();
    assert!(
        dropped.contains(&format!("a{}", id(1)).as_str()),
        "{dropped:?}"
    );
    log.extend(batch);
    let records = log.iter();
    let records = records.map(|(key, value)| (key.as_str(), value.as_deref()));
    let last = make::successor(records, START + 700);
    assert_eq!(last.visible_state(&id(1)), Some(model::State::Cancelled));
}

/// The same for a job that is cancelled at the new owner before its worker has reported.
#[test]
fn unknown_runs_count_after_their_job_was_cancelled() {
    let (_, log) = predecessor(make::step(4, 1_000));
    let mut engine = successor(&log);
    engine.cancel(&id(1), START + 100).unwrap();
    submit_new(&mut engine);
    assert_eq!(started(&mut engine, START + 100), [id(3)]);
    make::store(&mut engine, START + 300);
    engine.tick(START + 300);
    assert_eq!(started(&mut engine, START + 300), Vec::<String>::new());
    report(&mut engine, None, START + 400);
    assert_eq!(started(&mut engine, START + 500), Vec::<String>::new());
}

/// Tasks that may run on a cordoned worker must count while all others may start.
#[test]
fn withheld_tasks_count() {
    let (mut first, mut log) = predecessor(make::step(4, 1_000));
    let key = first.cluster.find_worker("w2").unwrap();
    first.poll_command(key, START + 50).unwrap();
    first.poll_failed(key, START + 50);
    first.tick(START + 600);
    log.extend(make::store(&mut first, START + 600));
    assert_eq!(first.cordoned_workers(), 1);
    let mut engine = successor(&log);
    // `w1` had been heard, so that only the cordoned worker is left.
    engine.tick(START + 300);
    submit_new(&mut engine);
    assert_eq!(started(&mut engine, START + 300), [id(3)]);
}

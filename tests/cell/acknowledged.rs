//! Ends of runs that their owner cannot place at first: an acknowledged end must have had its effect.

use bamboolock::cell::{
    engine::{
        Engine,
        Submitted, //
    },
    job::WorkerKey,
    journal::{
        self,
        Kind, //
    },
    model::{
        self,
        LiveRun,
        Outcome,
        State,
        TaskName, //
    }, //
};

use super::make::{
    self,
    START, //
};

const JOB: &str = "00000000000000e1";

/// Time between two occurrences, in milliseconds.
const INTERVAL: u64 = 2_000;

/// A job of `count` occurrences of one step of two tasks, the first of which is due at once.
fn timed(count: u32) -> model::Submission {
    model::Submission {
        occurrences: count,
        first_due: START,
        interval: INTERVAL,
        ..make::work(vec![make::step(2, 1_000)])
    }
}

fn task(occurrence: u32, index: u32) -> TaskName {
    TaskName {
        occurrence,
        ..make::task(JOB, 0, index)
    }
}

fn live(occurrence: u32, index: u32) -> LiveRun {
    LiveRun {
        task: task(occurrence, index),
        ..make::live(JOB, 0, 0, 1)
    }
}

/// Creates a second owner by whose clock only the first occurrence of a stored job is due, with a
/// worker that lists what a former owner had started there.
fn successor(count: u32, report: model::Report) -> (Engine, WorkerKey) {
    let mut former = make::owner(&[]);
    former.register(make::worker("w1", 1, 16_000));
    let work = timed(count);
    former
        .submit(JOB, make::queue("q", 0), work, START)
        .unwrap();
    let stored = make::store(&mut former, START);
    let records = stored.iter();
    let records = records.map(|(key, value)| (key.as_str(), value.as_deref()));
    let mut engine = make::successor(records, START + 500);
    let worker = engine.cluster.find_worker("w1").unwrap();
    engine.register(make::worker("w1", 1, 16_000));
    make::answer(&mut engine, worker, report, START + 500);
    engine.tick(START + 500);
    make::store(&mut engine, START + 510);
    (engine, worker)
}

/// Names of the tasks that are started at `now`, in milliseconds.
fn started(engine: &mut Engine, now: u64) -> Vec<(u32, u32)> {
    engine.set_wall_clock(now, now);
    engine.tick(now);
    let runs = make::starts(engine, now);
    let names = runs.iter().map(|run| &engine.cluster.runs[*run].name);
    let mut names: Vec<_> = names.map(|name| (name.occurrence, name.index)).collect();
    names.sort_unstable();
    names
}

#[test]
fn a_task_that_was_done_before_its_time_does_not_start_again() {
    let mut report = make::report(1, 1_000);
    report.ended = vec![make::end(1, task(1, 0), 1, Outcome::Done)];
    let (mut engine, worker) = successor(2, report);
    let poll = engine.poll_command(worker, START + 520).unwrap();
    assert_eq!(poll.acked, 1);
    assert_eq!(started(&mut engine, START + 600), [(0, 0), (0, 1)]);
    assert_eq!(
        started(&mut engine, START + INTERVAL + 100),
        [(1, 1)],
        "the success of the other task is acknowledged"
    );
}

#[test]
fn a_failure_before_its_time_counts_as_an_attempt() {
    let mut report = make::report(1, 1_000);
    report.ended = vec![
        make::end(1, task(1, 0), 1, Outcome::Failed),
        make::end(2, task(1, 0), 2, Outcome::Failed),
    ];
    let (engine, _) = successor(2, report);
    assert_eq!(engine.visible_state(JOB), Some(State::Failed));
}

#[test]
fn a_run_that_began_before_its_time_is_kept() {
    let mut report = make::report(1, 1_000);
    report.running = vec![live(1, 0)];
    let (mut engine, worker) = successor(2, report);
    let run = engine.cluster.find_run(worker, &task(1, 0), 1).unwrap();
    assert!(!engine.cluster.runs[run].stopping);
    assert_eq!(started(&mut engine, START + 600), [(0, 0), (0, 1)]);
    assert_eq!(started(&mut engine, START + INTERVAL + 100), [(1, 1)]);
}

#[test]
fn a_reported_occurrence_starts_no_task_before_its_time() {
    let mut report = make::report(1, 1_000);
    report.running = vec![live(2, 1)];
    report.ended = vec![make::end(1, task(3, 0), 1, Outcome::Stopped)];
    let (mut engine, worker) = successor(4, report);
    assert_eq!(started(&mut engine, START + 600), [(0, 0), (0, 1)]);
    // The run is lost; its task waits for its time like the others.
    let poll = engine.poll_command(worker, START + 700).unwrap();
    let report = make::report(1, 1_200);
    engine.apply_report(worker, poll.sent_at, poll.acked, &report, START + 710);
    for (occurrence, due) in (1..4).zip((START + INTERVAL..).step_by(INTERVAL as usize)) {
        assert_eq!(started(&mut engine, due - 100), []);
        let both = [(occurrence, 0), (occurrence, 1)];
        assert_eq!(started(&mut engine, due + 100), both);
    }
}

#[test]
fn a_successor_starts_no_stored_occurrence_before_its_time() {
    let mut report = make::report(1, 1_000);
    report.ended = vec![make::end(1, task(2, 0), 1, Outcome::Done)];
    let mut former = make::owner(&[]);
    former.register(make::worker("w1", 1, 16_000));
    let queue = make::queue("q", 0);
    former.submit(JOB, queue, timed(3), START).unwrap();
    let mut stored = make::store(&mut former, START);
    for _ in 0..2 {
        let records = stored.iter();
        let records = records.map(|(key, value)| (key.as_str(), value.as_deref()));
        let mut engine = make::successor(records, START + 500);
        let worker = engine.cluster.find_worker("w1").unwrap();
        engine.register(make::worker("w1", 1, 16_000));
        make::answer(&mut engine, worker, report.clone(), START + 500);
        report.ended.clear();
        engine.tick(START + 500);
        stored.extend(make::store(&mut engine, START + 510));
        assert_eq!(started(&mut engine, START + 600), [(0, 0), (0, 1)]);
        let second = started(&mut engine, START + INTERVAL + 100);
        assert_eq!(second, [(1, 0), (1, 1)]);
        let third = started(&mut engine, START + 2 * INTERVAL + 100);
        assert_eq!(third, [(2, 1)]);
    }
}

#[test]
fn an_end_that_could_not_be_read_is_not_acknowledged_with_a_later_one() {
    let (mut engine, run) = make::placed(JOB);
    make::accept(&mut engine, &[run], START);
    let worker = engine.cluster.find_worker("w1").unwrap();
    let mut report = make::report(1, 900);
    let other = make::task("00000000000000e2", 0, 0);
    report.ended = vec![make::end(2, other.clone(), 1, Outcome::Done)];
    report.unread = Some(1);
    make::answer(&mut engine, worker, report.clone(), START + 400);
    make::store(&mut engine, START + 410);
    let poll = engine.poll_command(worker, START + 700);
    assert_eq!(poll.map_or(0, |poll| poll.acked), 0);
    engine.poll_failed(worker, START + 800);
    // The next report can be read.
    report
        .ended
        .insert(0, make::end(1, task(0, 0), 1, Outcome::Done));
    report.unread = None;
    make::answer(&mut engine, worker, report, START + 1_100);
    assert!(make::starts(&mut engine, START + 1_110).is_empty());
    make::store(&mut engine, START + 1_120);
    let poll = engine.poll_command(worker, START + 1_200).unwrap();
    assert_eq!(poll.acked, 2);
    assert_eq!(engine.visible_state(JOB), Some(State::Completed));
}

#[test]
fn a_full_page_is_acknowledged_although_an_end_on_it_could_not_be_read() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let worker = engine.cluster.find_worker("w1").unwrap();
    let other = |n: u64| {
        let task = make::task("00000000000000e2", 0, n as u32);
        make::end(n, task, 1, Outcome::Done)
    };
    let mut report = make::report(1, 900);
    report.ended = (2..=500).map(other).collect();
    report.unread = Some(1);
    report.partial = true;
    engine.apply_report(worker, START + 100, 0, &report, START + 110);
    let poll = engine.poll_command(worker, START + 200).unwrap();
    assert_eq!(poll.acked, 500, "the ends after them would never be seen");
}

#[test]
fn the_end_of_a_job_whose_record_cannot_be_read_is_left_to_a_later_owner() {
    for kind in [Kind::Accepted, Kind::Progress] {
        let mut former = make::owner(&[]);
        former.register(make::worker("w1", 1, 16_000));
        let work = make::work(vec![make::step(2, 1_000)]);
        former
            .submit(JOB, make::queue("q", 0), work.clone(), START)
            .unwrap();
        let mut stored = make::store(&mut former, START);
        stored.push((journal::key(kind, JOB).to_string(), Some(b"{".to_vec())));
        let records = stored.iter();
        let records = records.map(|(key, value)| (key.as_str(), value.as_deref()));
        let mut engine = make::successor(records, START);
        let worker = engine.cluster.find_worker("w1").unwrap();
        engine.register(make::worker("w1", 1, 16_000));
        let mut report = make::report(1, 900);
        let other = make::task("00000000000000e2", 0, 0);
        report.ended = vec![
            make::end(1, other, 1, Outcome::Done),
            make::end(2, task(0, 0), 1, Outcome::Done),
        ];
        report.running = vec![live(0, 1)];
        make::answer(&mut engine, worker, report, START + 100);
        engine.tick(START + 110);
        assert_eq!(make::starts(&mut engine, START + 120), [], "{kind:?}");
        let records = make::store(&mut engine, START + 130);
        assert!(!records.iter().any(|(key, _)| key.ends_with(JOB)));
        let poll = engine.poll_command(worker, START + 140).unwrap();
        assert_eq!(poll.acked, 1, "{kind:?}");
        let again = engine.submit(JOB, make::queue("q", 0), work, START + 150);
        assert_eq!(again, Ok(Submitted::Known), "{kind:?}");
    }
}

/// Creates an owner of a worker that has ended a run, with a poll under way that acknowledges it, and a
/// job that waits.
fn acknowledging() -> (Engine, WorkerKey) {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let worker = engine.cluster.find_worker("w1").unwrap();
    let other = make::task("00000000000000e2", 0, 0);
    let mut report = make::report(1, 900);
    report.ended = vec![make::end(5, other, 1, Outcome::Done)];
    engine.apply_report(worker, START + 100, 0, &report, START + 110);
    let poll = engine.poll_command(worker, START + 200).unwrap();
    assert_eq!(poll.acked, 5);
    let work = make::work(vec![make::step(1, 1_000)]);
    make::submit(&mut engine, JOB, make::queue("q", 0), work, START + 300);
    (engine, worker)
}

/// Registers the next incarnation of the worker, which reports.
fn reborn(engine: &mut Engine, now: u64) {
    engine.register(make::worker("w1", 2, 16_000));
    let worker = engine.cluster.find_worker("w1").unwrap();
    make::answer(engine, worker, make::report(2, 50), now);
    make::store(engine, now);
    engine.tick(now);
}

#[test]
fn a_late_acknowledgement_finds_no_ends_of_the_next_incarnation() {
    let (mut engine, worker) = acknowledging();
    engine.poll_failed(worker, START + 600);
    reborn(&mut engine, START + 2_000);
    assert_eq!(make::starts(&mut engine, START + 2_100), []);
    engine.tick(START + 12_000);
    assert_eq!(make::starts(&mut engine, START + 12_000), []);
    assert_eq!(make::starts(&mut engine, START + 13_700).len(), 1);
}

#[test]
fn a_late_acknowledgement_is_remembered_although_its_worker_was_forgotten() {
    let (mut engine, worker) = acknowledging();
    engine.poll_failed(worker, START + 600);
    engine.unregister("w1");
    assert_eq!(engine.cluster.find_worker("w1"), None);
    reborn(&mut engine, START + 2_000);
    assert_eq!(make::starts(&mut engine, START + 2_100), []);
    assert_eq!(make::starts(&mut engine, START + 13_700).len(), 1);
}

#[test]
fn a_next_incarnation_gets_tasks_at_once_if_every_acknowledgement_was_answered() {
    let (mut engine, worker) = acknowledging();
    let report = make::report(1, 1_000);
    engine.apply_report(worker, START + 200, 5, &report, START + 310);
    engine.cluster.workers[worker].fenced = false;
    let poll = engine.poll_command(worker, START + 400).unwrap();
    assert_eq!(poll.acked, 0, "what was acknowledged is not repeated");
    engine.poll_failed(worker, START + 750);
    reborn(&mut engine, START + 2_000);
    assert_eq!(make::starts(&mut engine, START + 2_100).len(), 1);
}

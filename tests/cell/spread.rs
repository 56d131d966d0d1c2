//! Limit on the tasks of a step on one worker.

use bamboolock::cell::model::Outcome;

use super::make::{
    self,
    START, //
};

const JOB: &str = "00000000000000c1";

#[test]
fn a_stopping_run_counts_towards_the_limit_of_its_step() {
    let mut engine = make::owner(&[("w1", 16_000), ("w2", 16_000)]);
    let mut step = make::step(2, 1_000);
    step.max_per_worker = 1;
    let work = make::work(vec![step]);
    make::submit(&mut engine, JOB, make::queue("q", 0), work, START);
    let runs = make::starts(&mut engine, START);
    assert_eq!(runs.len(), 2);
    make::accept(&mut engine, &runs, START);
    // Another run, from an earlier owner, of the task that is active on the other worker.
    let first = engine.cluster.runs[runs[0]].clone();
    let worker = first.worker;
    let other = 1 - first.name.index;
    let mut report = make::report(1, 900);
    report.running = vec![make::live(JOB, 0, other, 9)];
    report.ended = vec![make::end(
        1,
        first.name.clone(),
        first.number,
        Outcome::Failed,
    )];
    make::answer(&mut engine, worker, report, START + 100);
    make::store(&mut engine, START + 110);
    let again = make::starts(&mut engine, START + 120);
    assert_eq!(
        again,
        [],
        "the other worker is full, and this one still stops a task"
    );
    let mut report = make::report(1, 1_200);
    report.ended = vec![make::end(2, make::task(JOB, 0, other), 9, Outcome::Stopped)];
    make::answer(&mut engine, worker, report, START + 400);
    let again = make::starts(&mut engine, START + 420);
    assert_eq!(again.len(), 1);
    assert_eq!(engine.cluster.runs[again[0]].worker, worker);
}

//! Workers whose capacity shrinks while runs are on them, and grows again.

use bamboolock::{
    cell::{
        engine::Engine,
        job::RunKey,
        model::{
            self,
            Outcome,
            State, //
        }, //
    },
    resources::Resources, //
};

use super::make::{
    self,
    START, //
};

const JOB: &str = "00000000000000c1";
const OTHER: &str = "00000000000000c2";

/// Registers a worker with another capacity, in millicores; the memory changes with it.
fn resize(engine: &mut Engine, id: &str, millicores: u32) {
    let mut registration = make::worker(id, 1, millicores);
    registration.capacity.memory = millicores;
    engine.register(registration);
}

fn submit(engine: &mut Engine, id: &str, step: model::Step) {
    let work = make::work(vec![step]);
    make::submit(engine, id, make::queue("q", 0), work, START);
}

/// Creates an owner of one worker of 16 cores with runs of 4 cores each.
fn running(count: u32) -> (Engine, Vec<RunKey>) {
    let mut engine = make::owner(&[("w1", 16_000)]);
    submit(&mut engine, JOB, make::step(count, 4_000));
    let runs = make::starts(&mut engine, START);
    make::accept(&mut engine, &runs, START);
    (engine, runs)
}

fn report_end(engine: &mut Engine, number: u64, index: u32, left: &[u32], now: u64) {
    let worker = engine.cluster.find_worker("w1").unwrap();
    let mut report = make::report(1, 500 + now - START);
    report.ended = vec![make::end(
        number,
        make::task(JOB, 0, index),
        1,
        Outcome::Done,
    )];
    report.running = left.iter().map(|i| make::live(JOB, 0, *i, 1)).collect();
    make::answer(engine, worker, report, now);
    make::store(engine, now);
}

#[test]
fn nothing_starts_on_a_worker_that_has_shrunk_until_it_fits() {
    let (mut engine, _) = running(3);
    resize(&mut engine, "w1", 8_000);
    submit(&mut engine, OTHER, make::step(1, 1_000));
    assert_eq!(make::starts(&mut engine, START + 10), [], "12 of 8 cores");
    report_end(&mut engine, 1, 0, &[1, 2], START + 20);
    assert_eq!(make::starts(&mut engine, START + 30), [], "8 of 8 cores");
    report_end(&mut engine, 2, 1, &[2], START + 40);
    assert_eq!(make::starts(&mut engine, START + 50).len(), 1, "4 of 8");
}

#[test]
fn no_run_is_stopped_on_a_worker_that_has_shrunk() {
    let (mut engine, runs) = running(4);
    for capacity in [8_000, 0] {
        resize(&mut engine, "w1", capacity);
        engine.tick(START + 100);
        for run in &runs {
            assert_eq!(engine.stop_command(*run, START + 100), None);
        }
        assert_eq!(engine.cluster.runs.len(), 4);
    }
    let worker = engine.cluster.find_worker("w1").unwrap();
    let poll = engine.poll_command(worker, START + 200).unwrap();
    assert!(poll.lease_end.is_some(), "its runs keep their leases");
}

#[test]
fn capacity_that_has_grown_back_is_used_at_once() {
    let (mut engine, _) = running(1);
    resize(&mut engine, "w1", 0);
    submit(&mut engine, OTHER, make::step(3, 4_000));
    assert_eq!(make::starts(&mut engine, START + 10), []);
    resize(&mut engine, "w1", 16_000);
    assert!(engine.pass_needed);
    assert_eq!(make::starts(&mut engine, START + 20).len(), 3);
}

#[test]
fn a_job_that_fits_nowhere_for_a_while_waits() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    resize(&mut engine, "w1", 2_000);
    submit(&mut engine, JOB, make::step(1, 4_000));
    for now in (START..START + 60_000).step_by(100) {
        engine.tick(now);
        assert_eq!(make::starts(&mut engine, now), []);
    }
    assert_eq!(engine.visible_state(JOB), Some(State::Pending));
    resize(&mut engine, "w1", 16_000);
    assert_eq!(make::starts(&mut engine, START + 60_000).len(), 1);
}

/// Creates an owner of a worker on which a run is found that nobody knows, while the worker has the
/// capacity `before`, in millicores.
fn with_unknown_run(before: u32) -> Engine {
    let mut engine = make::owner(&[("w1", 16_000)]);
    resize(&mut engine, "w1", before);
    let worker = engine.cluster.find_worker("w1").unwrap();
    engine.cluster.workers[worker].poll_after = 0;
    let mut report = make::report(1, 600);
    report.running = vec![make::live("00000000000000ff", 0, 0, 1)];
    engine.apply_report(worker, START + 5, 0, &report, START + 10);
    engine
}

#[test]
fn capacity_is_free_again_once_an_unknown_run_has_ended() {
    let mut engine = with_unknown_run(4_000);
    resize(&mut engine, "w1", 16_000);
    submit(&mut engine, JOB, make::step(4, 4_000));
    let worker = engine.cluster.find_worker("w1").unwrap();
    make::answer(&mut engine, worker, make::report(1, 900), START + 400);
    assert_eq!(
        engine.cluster.workers[worker].used,
        Resources::default(),
        "nothing runs"
    );
    assert_eq!(make::starts(&mut engine, START + 410).len(), 4);
}

#[test]
fn a_successor_does_not_trust_the_stored_capacity() {
    let mut first = make::owner(&[]);
    first.register(make::worker("w1", 1, 16_000));
    let stored = make::store(&mut first, START);
    let records = stored
        .iter()
        .map(|(key, value)| (key.as_str(), value.as_deref()));
    let mut next = make::successor(records, START);
    submit(&mut next, JOB, make::step(1, 4_000));
    assert_eq!(make::starts(&mut next, START + 10), [], "not registered");
    resize(&mut next, "w1", 2_000);
    let worker = next.cluster.find_worker("w1").unwrap();
    make::answer(&mut next, worker, make::report(1, 500), START + 20);
    make::store(&mut next, START + 20);
    assert_eq!(make::starts(&mut next, START + 20), []);
    resize(&mut next, "w1", 4_000);
    assert_eq!(make::starts(&mut next, START + 30).len(), 1);
}

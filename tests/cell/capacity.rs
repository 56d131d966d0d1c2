//! Workers whose capacity shrinks while runs are on them, and grows again.

use bamboolock::{
    cell::{
        engine::{
            Action,
            Engine,
            commands::SendError, //
        },
        job::RunKey,
        model::{
            self,
            Outcome,
            Reply,
            State,
            Verdict, //
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
fn a_worker_over_its_capacity_takes_no_task_that_needs_no_cpu() {
    let (mut engine, _) = running(3);
    resize(&mut engine, "w1", 8_000);
    let mut step = make::step(1, 1_000);
    step.opportunistic = true;
    submit(&mut engine, OTHER, step);
    assert_eq!(make::starts(&mut engine, START + 10), []);
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

#[test]
fn a_start_that_was_not_sent_is_not_sent_once_it_no_longer_fits() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    submit(&mut engine, JOB, make::step(3, 4_000));
    let runs = make::starts(&mut engine, START);
    resize(&mut engine, "w1", 8_000);
    let sent = |run: &&RunKey| engine.start_command(**run, START + 10).is_some();
    assert_eq!(runs.iter().filter(sent).count(), 2, "two of three fit");
    engine.register(make::worker("w2", 1, 16_000));
    let w2 = engine.cluster.find_worker("w2").unwrap();
    make::answer(&mut engine, w2, make::report(1, 500), START + 20);
    make::store(&mut engine, START + 20);
    let again = make::starts(&mut engine, START + 30);
    assert_eq!(again.len(), 1);
    assert_eq!(make::place(&engine, again[0]), "w2", "it starts elsewhere");
}

#[test]
fn an_unanswered_start_is_not_repeated_once_it_no_longer_fits() {
    let (mut engine, run) = make::placed(JOB);
    engine.start_command(run, START).unwrap();
    engine.start_answered(run, Err(SendError::Unknown), START + 350);
    resize(&mut engine, "w1", 500);
    assert_eq!(engine.start_command(run, START + 400), None);
    assert!(
        engine.cluster.runs.contains_key(run),
        "it may have arrived, and counts"
    );
    resize(&mut engine, "w1", 16_000);
    assert!(engine.start_command(run, START + 500).is_some());
}

#[test]
fn a_start_that_no_relay_sent_is_not_sent_once_it_no_longer_fits() {
    let (mut engine, run) = make::placed(JOB);
    engine.start_command(run, START).unwrap();
    assert!(engine.may_still_start(run, START + 300));
    resize(&mut engine, "w1", 500);
    assert!(!engine.may_still_start(run, START + 300));
}

#[test]
fn a_gang_that_was_not_sent_before_its_worker_shrank_starts_later_as_a_whole() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let mut step = make::step(3, 4_000);
    step.gang = true;
    submit(&mut engine, JOB, step);
    let runs = make::starts(&mut engine, START);
    assert_eq!(runs.len(), 3);
    make::accept(&mut engine, &runs[..1], START);
    resize(&mut engine, "w1", 8_000);
    assert_eq!(engine.start_command(runs[1], START + 10), None);
    engine.tick(START + 500);
    let accepted = Reply {
        verdict: Verdict::Accepted,
        clock: None,
    };
    for run in [runs[0], runs[2]] {
        assert_eq!(engine.start_command(run, START + 500), None);
        assert!(engine.stop_command(run, START + 500).is_some());
        engine.stop_answered(run, Ok(accepted), START + 510);
    }
    let worker = engine.cluster.find_worker("w1").unwrap();
    let mut report = make::report(1, 1_100);
    report.ended = vec![make::end(1, make::task(JOB, 0, 0), 1, Outcome::Stopped)];
    make::answer(&mut engine, worker, report, START + 600);
    make::store(&mut engine, START + 600);
    assert_eq!(make::starts(&mut engine, START + 620), []);
    resize(&mut engine, "w1", 16_000);
    assert_eq!(make::starts(&mut engine, START + 630).len(), 3);
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
fn an_unknown_run_takes_the_whole_capacity_also_once_it_has_grown() {
    for before in [0, 4_000, 16_000] {
        let mut engine = with_unknown_run(before);
        resize(&mut engine, "w1", 16_000);
        submit(&mut engine, JOB, make::step(1, 4_000));
        assert_eq!(
            make::starts(&mut engine, START + 20),
            [],
            "found at {before}"
        );
    }
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

#[test]
fn a_worker_that_was_full_is_not_tried_again_at_once() {
    let (mut engine, run) = make::placed(JOB);
    engine.start_command(run, START).unwrap();
    let full = Reply {
        verdict: Verdict::Full,
        clock: Some(600),
    };
    engine.start_answered(run, Ok(full), START + 10);
    let again = make::starts(&mut engine, START + 20);
    assert_eq!(make::place(&engine, again[0]), "w2");
}

#[test]
fn nothing_starts_by_a_list_of_registrations_that_is_too_old() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    engine.registrations_read(START);
    let late = START + make::TIMES.contact;
    submit(&mut engine, JOB, make::step(1, 1_000));
    assert_eq!(make::starts(&mut engine, late), []);
    engine.registrations_read(late);
    assert!(engine.pass_needed);
    assert_eq!(make::starts(&mut engine, late + 10).len(), 1);
}

#[test]
fn a_start_that_was_not_sent_is_placed_again_by_a_newer_list() {
    let (mut engine, run) = make::placed(JOB);
    engine.registrations_read(START);
    let late = START + make::TIMES.contact;
    assert_eq!(engine.start_command(run, late), None);
    engine.registrations_read(late);
    assert_eq!(make::starts(&mut engine, late + 10).len(), 1);
}

#[test]
fn a_start_expires_before_the_list_of_registrations_is_too_old() {
    for age in [100, 1_500, 2_500] {
        let (mut engine, run) = make::placed(JOB);
        engine.registrations_read(START);
        let start = engine.start_command(run, START + age).unwrap();
        let clock = 500 + age;
        let left = make::TIMES.contact - age;
        assert!(start.expires_at < clock + left, "after {age} ms");
        // Another try does not prolong it.
        engine.start_answered(run, Err(SendError::Unknown), START + age + 350);
        engine.registrations_read(START + age);
        let again = engine.start_command(run, START + age + 400).unwrap();
        assert_eq!(again.expires_at, start.expires_at);
    }
}

#[test]
fn an_unanswered_start_is_not_repeated_to_a_worker_that_may_have_restarted() {
    let (mut engine, run) = make::placed(JOB);
    engine.start_command(run, START).unwrap();
    engine.start_answered(run, Err(SendError::Unknown), START + 350);
    engine.tick(START + 400);
    let actions = std::mem::take(&mut engine.actions);
    assert!(!actions.contains(&Action::Start(run)), "it is silent");
    let worker = engine.cluster.find_worker("w1").unwrap();
    make::answer(&mut engine, worker, make::report(1, 950), START + 450);
    engine.tick(START + 500);
    let actions = std::mem::take(&mut engine.actions);
    assert!(actions.contains(&Action::Start(run)), "it is the same life");
}

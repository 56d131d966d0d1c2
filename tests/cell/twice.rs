//! Runs that end without their worker's word: a task must not start again while an earlier run may
//! still be active or may have succeeded.

use bamboolock::cell::{
    cluster,
    engine::{
        Action,
        commands::SendError, //
    },
    model::{
        Outcome,
        Reply,
        State,
        Verdict, //
    }, //
};

use super::make::{
    self,
    START,
    TIMES, //
};

const JOB: &str = "00000000000000f1";

fn reply(verdict: Verdict, clock: u64) -> Result<Reply, SendError> {
    Ok(Reply {
        verdict,
        clock: Some(clock),
    })
}

#[test]
fn a_refused_retry_does_not_end_a_run_whose_first_command_may_still_arrive() {
    for verdict in [
        Verdict::Unwell,
        Verdict::Permit,
        Verdict::Full,
        Verdict::Invalid,
    ] {
        let (mut engine, run) = make::placed(JOB);
        engine.start_command(run, START).unwrap();
        engine.start_answered(run, Err(SendError::Unknown), START + 350);
        engine.start_command(run, START + 400).unwrap();
        engine.start_answered(run, reply(verdict, 910), START + 410);
        assert_eq!(
            make::starts(&mut engine, START + 420),
            [],
            "{verdict:?}: the first command is valid until 2500"
        );
        // The worker acknowledges a stop, after which the first command cannot start the run.
        engine.tick(START + 450);
        engine.stop_command(run, START + 450).unwrap();
        engine.stop_answered(run, reply(Verdict::Accepted, 960), START + 460);
        let worker = engine.cluster.find_worker("w1").unwrap();
        make::answer(&mut engine, worker, make::report(1, 1_000), START + 500);
        assert_eq!(make::starts(&mut engine, START + 510).len(), 1);
    }
}

#[test]
fn a_refused_retry_does_not_end_a_run_that_its_worker_has_reported() {
    let (mut engine, run) = make::placed(JOB);
    let worker = engine.cluster.find_worker("w1").unwrap();
    engine.start_command(run, START).unwrap();
    engine.start_answered(run, Err(SendError::Unknown), START + 350);
    engine.start_command(run, START + 400).unwrap();
    let mut report = make::report(1, 905);
    report.running = vec![make::live(JOB, 0, 0, 1)];
    make::answer(&mut engine, worker, report, START + 405);
    engine.start_answered(run, reply(Verdict::Unwell, 910), START + 410);
    assert_eq!(make::starts(&mut engine, START + 420), []);
    assert!(!engine.cluster.runs[run].stopping);
}

#[test]
fn a_reply_from_a_former_address_does_not_end_runs_at_the_new_one() {
    let (mut engine, run) = make::placed(JOB);
    make::accept(&mut engine, &[run], START);
    let worker = engine.cluster.find_worker("w1").unwrap();
    engine.poll_command(worker, START + 100).unwrap();
    let mut moved = make::worker("w1", 1, 16_000);
    moved.address = "127.0.0.1:2".into();
    engine.register(moved);
    let refusal = Reply {
        verdict: Verdict::Reborn,
        clock: None,
    };
    engine.poll_refused(worker, refusal, START + 150);
    assert_eq!(
        make::starts(&mut engine, START + 160),
        [],
        "the run is active at the new address"
    );
    engine.tick(START + 400);
    assert!(engine.poll_command(worker, START + 400).is_some());
}

#[test]
fn a_report_with_a_full_page_of_ended_runs_says_nothing_about_other_runs() {
    let (mut engine, run) = make::placed(JOB);
    make::accept(&mut engine, &[run], START);
    let worker = engine.cluster.find_worker("w1").unwrap();
    let mut report = make::report(1, 900);
    let other = |n: u64| {
        let task = make::task("00000000000000f2", 0, n as u32);
        make::end(n, task, 1, Outcome::Done)
    };
    report.ended = (1..=500).map(other).collect();
    report.partial = true;
    make::answer(&mut engine, worker, report, START + 400);
    assert_eq!(
        make::starts(&mut engine, START + 410),
        [],
        "the end of the run may be on the next page"
    );
}

#[test]
fn an_outcome_is_acknowledged_only_once_the_batch_in_flight_is_stored() {
    let mut engine = make::owner(&[("w1", 1_000), ("w2", 1_000)]);
    let mut step = make::step(2, 1_000);
    step.gang = true;
    make::submit(
        &mut engine,
        JOB,
        make::queue("q", 0),
        make::work(vec![step]),
        START,
    );
    let runs = make::starts(&mut engine, START);
    make::accept(&mut engine, &runs, START);
    let mut number = 0;
    for run in &runs {
        let (worker, name) = (
            engine.cluster.runs[*run].worker,
            engine.cluster.runs[*run].name.clone(),
        );
        let mut report = make::report(1, 1_000);
        report.ended = vec![make::end(1, name, 1, Outcome::Done)];
        make::answer(&mut engine, worker, report, START + 500);
        if let Some((batch, _)) = engine.take_batch() {
            number = batch;
        }
    }
    assert!(engine.durable_batch < number);
    for id in ["w1", "w2"] {
        let worker = engine.cluster.find_worker(id).unwrap();
        let poll = engine.poll_command(worker, START + 600);
        assert_eq!(
            poll.map_or(0, |poll| poll.acked),
            0,
            "{id}: a successor could not learn of the end"
        );
    }
}

#[test]
fn an_unanswered_start_is_not_sent_again_to_a_new_incarnation_of_its_worker() {
    let (mut engine, run) = make::placed(JOB);
    engine.start_command(run, START).unwrap();
    engine.start_answered(run, Err(SendError::Unknown), START + 350);
    let worker = engine.cluster.find_worker("w1").unwrap();
    make::answer(&mut engine, worker, make::report(2, 50), START + 2_000);
    engine.actions.clear();
    engine.tick(START + 2_100);
    assert!(
        !engine.actions.contains(&Action::Start(run))
            || engine.start_command(run, START + 2_100).is_none(),
        "the new incarnation may be of another kind, and the run may have ended in the former one"
    );
}

#[test]
fn leases_of_a_new_incarnation_are_not_measured_by_the_clock_of_the_former_one() {
    let mut engine = make::owner(&[]);
    engine.register(make::worker("w1", 1, 16_000));
    let worker = engine.cluster.find_worker("w1").unwrap();
    make::answer(&mut engine, worker, make::report(1, 400_000), START);
    make::store(&mut engine, START);
    let work = make::work(vec![make::step(1, 1_000)]);
    make::submit(&mut engine, JOB, make::queue("q", 0), work, START);
    let run = make::starts(&mut engine, START)[0];
    engine.start_command(run, START).unwrap();
    engine.start_answered(run, Err(SendError::Unknown), START + 350);
    make::answer(&mut engine, worker, make::report(2, 50), START + 2_000);
    engine.tick(START + 2_100);
    engine.start_command(run, START + 2_100);
    let longest = START + 2_100 + cluster::local_duration(TIMES.lease);
    let end = engine.cluster.workers[worker].leases_end;
    assert!(end <= longest, "{} ms too late", end - longest);
}

#[test]
fn a_late_answer_of_a_former_incarnation_says_nothing_about_the_registered_one() {
    let mut engine = make::owner(&[]);
    engine.register(make::worker("w1", 1, 16_000));
    make::store(&mut engine, START);
    let worker = engine.cluster.find_worker("w1").unwrap();
    let poll = engine.poll_command(worker, START).unwrap();
    engine.register(make::worker("w1", 2, 16_000));
    make::store(&mut engine, START + 1_000);
    let report = make::report(1, 500);
    engine.apply_report(worker, poll.sent_at, poll.acked, &report, START + 1_100);
    let state = &engine.cluster.workers[worker];
    assert!(
        state.is_poll_due(engine.durable_batch, START + 2_000),
        "the new incarnation has not seen the token and would never get a task"
    );
}

#[test]
fn a_late_copy_of_a_start_may_reach_the_next_incarnation_of_its_worker() {
    let (mut engine, run) = make::placed(JOB);
    let worker = engine.cluster.find_worker("w1").unwrap();
    engine.start_command(run, START).unwrap();
    engine.start_answered(run, Err(SendError::Unknown), START + 350);
    engine.start_command(run, START + 400).unwrap();
    engine.start_answered(run, reply(Verdict::Accepted, 910), START + 410);
    // The worker restarts; its clock starts anew, so that the first copy is valid there.
    make::answer(&mut engine, worker, make::report(2, 50), START + 1_600);
    assert_eq!(make::starts(&mut engine, START + 1_610), []);
    engine.tick(START + 1_650);
    assert!(engine.stop_command(run, START + 1_650).is_some());
    engine.stop_answered(run, reply(Verdict::Accepted, 110), START + 1_660);
    make::answer(&mut engine, worker, make::report(2, 200), START + 1_900);
    assert_eq!(make::starts(&mut engine, START + 1_910).len(), 1);
}

#[test]
fn an_acknowledgement_for_a_former_incarnation_does_not_count_for_the_next_one() {
    let (mut engine, run) = make::placed(JOB);
    make::accept(&mut engine, &[run], START);
    let worker = engine.cluster.find_worker("w1").unwrap();
    let mut report = make::report(1, 900);
    report.ended = vec![make::end(5, make::task(JOB, 0, 0), 1, Outcome::Done)];
    make::answer(&mut engine, worker, report, START + 400);
    make::store(&mut engine, START + 450);
    let poll = engine.poll_command(worker, START + 500).unwrap();
    assert_eq!(poll.acked, 5);
    // The poll was held up until the worker had restarted.
    let mut report = make::report(2, 50);
    report.ended = vec![make::end(1, make::task(JOB, 0, 1), 1, Outcome::Done)];
    engine.apply_report(worker, poll.sent_at, poll.acked, &report, START + 1_900);
    let state = &engine.cluster.workers[worker];
    assert!(
        state.is_poll_due(engine.durable_batch, START + 2_200),
        "the end is never acknowledged"
    );
}

#[test]
fn the_success_of_a_superfluous_run_counts() {
    let (mut engine, run) = make::placed(JOB);
    make::accept(&mut engine, &[run], START);
    let other = engine.cluster.find_worker("w2").unwrap();
    // An earlier run that counted as lost is still active elsewhere, and succeeds before it is stopped.
    let mut report = make::report(1, 900);
    report.running = vec![make::live(JOB, 0, 0, 9)];
    engine.apply_report(other, START + 100, 0, &report, START + 120);
    let mut report = make::report(1, 1_000);
    report.ended = vec![make::end(1, make::task(JOB, 0, 0), 9, Outcome::Done)];
    engine.apply_report(other, START + 200, 0, &report, START + 220);
    make::store(&mut engine, START + 230);
    assert_eq!(
        engine.visible_state(JOB),
        Some(State::Completed),
        "its outcome is acknowledged, so that the task must not start again"
    );
}

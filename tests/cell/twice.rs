//! Runs that end without their worker's word, and owners that may have been replaced: a task must
//! not start again while an earlier run may still be active.

use bamboolock::cell::{
    cluster,
    engine::{
        Action,
        Engine,
        commands::SendError, //
    },
    job::RunKey,
    model::{
        Availability,
        Outcome,
        Reply,
        Verdict, //
    }, //
};

use super::make::{
    self,
    START,
    TIMES, //
};

const JOB: &str = "00000000000000f1";

/// Longest time without proof of ownership in which an owner sends commands, in milliseconds.
const AUTHORITY: u64 = 6_000;

fn reply(verdict: Verdict, clock: u64) -> Result<Reply, SendError> {
    Ok(Reply {
        verdict,
        clock: Some(clock),
    })
}

/// Creates an owner of two workers with a task that was just placed on the first one.
fn placed() -> (Engine, RunKey) {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let work = make::work(vec![make::step(1, 1_000)]);
    make::submit(&mut engine, JOB, make::queue("q", 0), work, START);
    let run = make::starts(&mut engine, START)[0];
    make::join(&mut engine, "w2", START);
    (engine, run)
}

#[test]
fn a_refused_retry_does_not_end_a_run_whose_first_command_may_still_arrive() {
    for verdict in [
        Verdict::Unwell,
        Verdict::Permit,
        Verdict::Full,
        Verdict::Invalid,
    ] {
        let (mut engine, run) = placed();
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
    let (mut engine, run) = placed();
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
    let (mut engine, run) = placed();
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
    let (mut engine, run) = placed();
    make::accept(&mut engine, &[run], START);
    let worker = engine.cluster.find_worker("w1").unwrap();
    let mut report = make::report(1, 900);
    let other = |n: u64| {
        let task = make::task("00000000000000f2", 0, n as u32);
        make::end(n, task, 1, bamboolock::cell::model::Outcome::Done)
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
fn a_command_that_was_decided_before_a_pause_is_not_sent_after_it() {
    let (mut engine, run) = placed();
    engine.proven_at = START;
    let thaw = START + AUTHORITY + 3_000;
    assert_eq!(
        engine.start_command(run, thaw),
        None,
        "another instance may own the cell"
    );
    engine.proven_at = thaw + 50;
    engine.tick(thaw + 50);
    let again = make::starts(&mut engine, thaw + 50);
    assert_eq!(again.len(), 1, "the task is placed again once it is proven");
    assert!(engine.start_command(again[0], thaw + 50).is_some());
}

#[test]
fn an_unanswered_start_is_not_retried_after_a_pause() {
    let (mut engine, run) = placed();
    engine.proven_at = START;
    engine.start_command(run, START).unwrap();
    engine.start_answered(run, Err(SendError::Unknown), START + 350);
    let late = START + AUTHORITY + 1;
    let worker = engine.cluster.find_worker("w1").unwrap();
    // The worker's clock says that the command is still valid.
    engine.cluster.workers[worker].clock_reading = Some((late, 600));
    engine.tick(late);
    let actions = std::mem::take(&mut engine.actions);
    assert!(!actions.contains(&Action::Start(run)));
    assert_eq!(engine.start_command(run, late), None);
}

/// What the first owner stores while a task runs on its only worker.
fn stored_by_first() -> Vec<(String, Option<Vec<u8>>)> {
    let mut engine = make::owner(&[]);
    engine.register(make::worker("w1", 1, 16_000));
    let key = engine.cluster.find_worker("w1").unwrap();
    make::answer(&mut engine, key, make::report(1, 500), START);
    let work = make::work(vec![make::step(1, 1_000)]);
    engine
        .submit(JOB, make::queue("q", 0), work, START)
        .unwrap();
    let stored = make::store(&mut engine, START);
    let runs = make::starts(&mut engine, START);
    make::accept(&mut engine, &runs, START);
    stored
}

fn load(term: u64, stored: &[(String, Option<Vec<u8>>)], now: u64) -> Engine {
    let mut engine = Engine::new(term, term, TIMES);
    engine.set_wall_clock(now, now);
    engine.proven_at = u64::MAX / 2;
    let records = stored
        .iter()
        .map(|(key, value)| (key.as_str(), value.as_deref()));
    engine.load(records, now);
    engine
}

#[test]
fn a_third_owner_waits_for_the_first_although_the_second_is_gone() {
    let mut stored = stored_by_first();
    // The second owner is gone before it has heard from w1; the first may still renew leases there.
    let mut second = load(2, &stored, START + 1_000);
    second.succeed("i2", Some((1, "i1")), START + 1_000);
    second.tick(START + 1_100);
    stored.extend(make::store(&mut second, START + 1_100));
    let began = START + 2_000;
    let mut third = load(3, &stored, began);
    third.succeed("i3", Some((2, "i2")), began);
    make::join(&mut third, "w2", began);
    third.former_owner_gone("i2", began);
    let once = began + cluster::local_duration(TIMES.lease) + 500;
    third.tick(once + 25);
    assert_eq!(make::starts(&mut third, once + 25), []);
    let twice = began + AUTHORITY + TIMES.lease + 500;
    third.tick(twice + 25);
    assert_eq!(make::starts(&mut third, twice + 25).len(), 1);
}

#[test]
fn a_third_owner_waits_one_lease_if_the_second_had_outwaited_the_first() {
    let mut stored = stored_by_first();
    let mut second = load(2, &stored, START + 1_000);
    second.succeed("i2", Some((1, "i1")), START + 1_000);
    let over = START + 1_000 + AUTHORITY + TIMES.lease + 500;
    second.tick(over);
    assert!(second.is_reconciled());
    stored.extend(make::store(&mut second, over));
    let began = over + 100;
    let mut third = load(3, &stored, began);
    third.succeed("i3", Some((2, "i2")), began);
    make::join(&mut third, "w2", began);
    third.former_owner_gone("i2", began);
    let once = began + cluster::local_duration(TIMES.lease) + 500;
    third.tick(once);
    assert_eq!(make::starts(&mut third, once).len(), 1);
}

#[test]
fn a_third_owner_waits_one_lease_once_all_former_owners_are_gone() {
    let mut stored = stored_by_first();
    let mut second = load(2, &stored, START + 1_000);
    second.succeed("i2", Some((1, "i1")), START + 1_000);
    stored.extend(make::store(&mut second, START + 1_100));
    let began = START + 2_000;
    let mut third = load(3, &stored, began);
    // The second owner ran at the same instance.
    third.succeed("i2", Some((2, "i2")), began);
    make::join(&mut third, "w2", began);
    assert_eq!(make::starts(&mut third, began), []);
    third.former_owner_gone("i1", began + 300);
    let once = began + 300 + cluster::local_duration(TIMES.lease) + 500;
    third.tick(once - 25);
    assert_eq!(make::starts(&mut third, once - 25), []);
    third.tick(once);
    assert_eq!(make::starts(&mut third, once).len(), 1);
}

#[test]
fn an_owner_whose_record_was_never_stored_is_waited_for() {
    let stored = stored_by_first();
    let began = START + 2_000;
    // The second owner was replaced before it stored anything; the third is the predecessor.
    let mut fourth = load(4, &stored, began);
    fourth.succeed("i4", Some((3, "i3")), began);
    make::join(&mut fourth, "w2", began);
    fourth.former_owner_gone("i1", began);
    fourth.former_owner_gone("i3", began);
    let once = began + cluster::local_duration(TIMES.lease) + 500;
    fourth.tick(once + 25);
    assert_eq!(make::starts(&mut fourth, once + 25), []);
}

#[test]
fn a_draining_worker_without_registration_may_still_run_tasks() {
    let stored = stored_by_first();
    let now = START + 1_000;
    let mut next = load(2, &stored, now);
    let mut leaving = make::worker("w1", 1, 16_000);
    leaving.availability = Availability::Draining;
    next.register(leaving);
    make::join(&mut next, "w2", now);
    // A worker that has lost the store loses its registration and runs on.
    next.unregister("w1");
    next.tick(now + 100);
    assert!(!next.is_reconciled());
    assert_eq!(make::starts(&mut next, now + 100), []);
    let over = now + AUTHORITY + TIMES.lease + 500;
    next.tick(over);
    assert_eq!(make::starts(&mut next, over).len(), 1);
}

/// Creates an owner whose task was lost with a silent worker whose leases have expired, and the time
/// of the loss.
fn expired() -> (Engine, u64) {
    let (mut engine, run) = placed();
    make::accept(&mut engine, &[run], START);
    let worker = engine.cluster.find_worker("w1").unwrap();
    engine.poll_command(worker, START + 100).unwrap();
    engine.poll_failed(worker, START + 1_600);
    let over = engine.cluster.workers[worker].leases_end + 1;
    // The proof is recent enough for commands, but older than the end of the leases.
    engine.proven_at = over - 1_000;
    engine.tick(over);
    assert!(engine.cluster.runs.is_empty());
    (engine, over)
}

#[test]
fn a_task_whose_leases_expired_restarts_only_with_a_later_proof_of_ownership() {
    let (mut engine, over) = expired();
    assert_eq!(
        make::starts(&mut engine, over),
        [],
        "a successor may have renewed the leases or read the outcome"
    );
    assert!(engine.needs_proof(over + 1));
    engine.confirm_ownership(over + 5);
    engine.pass_needed = true;
    assert_eq!(make::starts(&mut engine, over + 10).len(), 1);
}

#[test]
fn tasks_of_a_superseded_worker_restart_only_with_a_later_proof_of_ownership() {
    let (mut engine, run) = placed();
    make::accept(&mut engine, &[run], START);
    engine.proven_at = START;
    let worker = engine.cluster.find_worker("w1").unwrap();
    engine.poll_command(worker, START + 100).unwrap();
    let refusal = Reply {
        verdict: Verdict::Reborn,
        clock: None,
    };
    engine.poll_refused(worker, refusal, START + 150);
    assert!(engine.cluster.runs.is_empty());
    assert_eq!(make::starts(&mut engine, START + 160), []);
    engine.confirm_ownership(START + 155);
    assert_eq!(make::starts(&mut engine, START + 170).len(), 1);
}

#[test]
fn inherited_tasks_of_unheard_workers_restart_only_with_a_later_proof_of_ownership() {
    let stored = stored_by_first();
    let now = START + 1_000;
    let mut next = load(2, &stored, now);
    make::join(&mut next, "w2", now);
    let over = now + AUTHORITY + TIMES.lease + 500;
    next.proven_at = over - 1_000;
    next.tick(over + 25);
    assert_eq!(make::starts(&mut next, over + 25), []);
    assert!(next.needs_proof(over + 25));
    next.confirm_ownership(over + 30);
    next.tick(over + 50);
    assert_eq!(make::starts(&mut next, over + 50).len(), 1);
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
    let (mut engine, run) = placed();
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
fn a_worker_that_restarted_counts_as_fenced_only_with_a_fresh_proof_of_ownership() {
    let (mut engine, run) = placed();
    make::accept(&mut engine, &[run], START);
    engine.proven_at = START;
    let worker = engine.cluster.find_worker("w1").unwrap();
    // A successor may have heard from the former incarnation and given its tasks to other workers.
    make::answer(&mut engine, worker, make::report(2, 50), START + 2_000);
    assert!(!engine.cluster.workers[worker].fenced);
    engine.confirm_ownership(START + 2_100);
    make::answer(&mut engine, worker, make::report(2, 250), START + 2_200);
    assert!(engine.cluster.workers[worker].fenced);
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
fn a_worker_with_more_ended_runs_than_it_lists_has_not_reported_yet() {
    let stored = stored_by_first();
    let now = START + 1_000;
    let mut next = load(2, &stored, now);
    make::join(&mut next, "w2", now);
    let worker = next.cluster.find_worker("w1").unwrap();
    let mut report = make::report(1, 1_500);
    let other = make::task("00000000000000f2", 0, 0);
    report.ended = vec![make::end(1, other, 1, Outcome::Done)];
    report.partial = true;
    make::answer(&mut next, worker, report, now + 20);
    next.tick(now + 25);
    assert!(!next.is_reconciled());
    assert_eq!(make::starts(&mut next, now + 25), []);
    let mut report = make::report(1, 1_800);
    report.ended = vec![make::end(2, make::task(JOB, 0, 0), 1, Outcome::Done)];
    make::answer(&mut next, worker, report, now + 300);
    next.tick(now + 325);
    assert!(next.is_reconciled());
    assert_eq!(make::starts(&mut next, now + 325), []);
}

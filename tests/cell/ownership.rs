//! Owners that may have been replaced: what an owner does only with a proof of its ownership, and how
//! long its successor waits for the runs of earlier owners.

use bamboolock::cell::{
    cluster,
    engine::{
        Action,
        Engine,
        commands::SendError, //
    },
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

#[test]
fn a_command_that_was_decided_before_a_pause_is_not_sent_after_it() {
    let (mut engine, run) = make::placed(JOB);
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
    let (mut engine, run) = make::placed(JOB);
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
    let mut engine = Engine::new(term, TIMES);
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
    let (mut engine, run) = make::placed(JOB);
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
    let (mut engine, run) = make::placed(JOB);
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
fn a_worker_that_restarted_counts_as_fenced_only_with_a_fresh_proof_of_ownership() {
    let (mut engine, run) = make::placed(JOB);
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

//! Workers that start again under their ids: commands that were meant for a former incarnation may reach
//! the next one, and renew leases or start runs there.

use bamboolock::cell::{
    cluster,
    engine::{
        Action,
        Engine,
        commands::SendError, //
    },
    job::{
        RunKey,
        WorkerKey, //
    },
    model::{
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

const JOB: &str = "00000000000000b1";

/// Time for which a command without an answer may still be carried out, in milliseconds.
const LATE: u64 = 13_000;

fn accepted(clock: u64) -> Result<Reply, SendError> {
    Ok(Reply {
        verdict: Verdict::Accepted,
        clock: Some(clock),
    })
}

/// Creates an owner of a worker whose clock showed `clock` at the beginning, with a task that was just
/// placed on it, and of a second worker.
fn placed(clock: u64) -> (Engine, WorkerKey, RunKey) {
    let mut engine = make::owner(&[]);
    engine.register(make::worker("w1", 1, 16_000));
    let worker = engine.cluster.find_worker("w1").unwrap();
    make::answer(&mut engine, worker, make::report(1, clock), START);
    make::store(&mut engine, START);
    let work = make::work(vec![make::step(1, 1_000)]);
    make::submit(&mut engine, JOB, make::queue("q", 0), work, START);
    let run = make::starts(&mut engine, START)[0];
    make::join(&mut engine, "w2", START);
    (engine, worker, run)
}

/// Leaves all commands to a worker without an answer from local time `since` on; returns when the task of a
/// run is to start again, in milliseconds.
fn starts_again(engine: &mut Engine, worker: WorkerKey, run: RunKey, since: u64) -> u64 {
    let mut later = (since..since + 60_000).step_by(25);
    let again = later.find(|now| {
        engine.tick(*now);
        if engine.poll_command(worker, *now).is_some() {
            engine.poll_failed(worker, *now);
        }
        if engine.stop_command(run, *now).is_some() {
            engine.stop_answered(run, Err(SendError::Unknown), *now);
        }
        make::store(engine, *now);
        !make::starts(engine, *now).is_empty()
    });
    again.unwrap()
}

/// Lets a new incarnation accept a start, `registered` before or not, and then fall silent: the run holds the
/// longest lease.
fn check_longest_lease(registered: bool) {
    let (mut engine, worker, run) = placed(400_000);
    engine.start_command(run, START + 100).unwrap();
    if registered {
        engine.register(make::worker("w1", 2, 16_000));
    }
    let answered = START + 130;
    engine.start_answered(run, accepted(50), answered);
    let again = starts_again(&mut engine, worker, run, answered + 100);
    let lease = answered + cluster::local_duration(TIMES.lease);
    assert!(again > lease, "{} ms too early", lease - again);
}

/// Guards against two runs at once: the answer's clock is below the last reading, so that the start has
/// reached a new incarnation, by whose clock the lease of the start is the longest.
#[test]
fn a_run_that_a_new_incarnation_has_started_holds_the_longest_lease() {
    check_longest_lease(false);
}

/// Guards against late contact with a new incarnation: a poll that was meant for the former one has no
/// answer, and its timeout takes longer than the way to the worker.
#[test]
fn a_new_incarnation_is_polled_at_once_beside_a_poll_of_the_former_one() {
    let (mut engine, worker, run) = placed(500);
    make::accept(&mut engine, &[run], START);
    engine.poll_command(worker, START + 1_000).unwrap();
    engine.register(make::worker("w1", 2, 16_000));
    engine.tick(START + 1_100);
    assert!(
        engine.actions.contains(&Action::Poll(worker)),
        "the poll of the former incarnation is still in flight"
    );
    assert!(engine.poll_command(worker, START + 1_100).is_some());
}

/// Guards against two runs at once and an end that nobody reads: the first copy may have run in the former
/// incarnation, and the next one may have another capacity.
#[test]
fn an_unanswered_start_is_repeated_to_the_registered_incarnation_only_if_it_was_meant_for_it() {
    let (mut engine, _, run) = placed(500);
    engine.start_command(run, START).unwrap();
    engine.start_answered(run, Err(SendError::Unknown), START + 350);
    engine.register(make::worker("w1", 2, 16_000));
    engine.tick(START + 400);
    let due = engine.actions.contains(&Action::Start(run));
    assert!(!due, "it was placed on the former incarnation");
    assert_eq!(engine.start_command(run, START + 400), None);
}

/// The same for a start that was not sent yet.
#[test]
fn a_start_is_sent_to_the_registered_incarnation_only_if_it_was_meant_for_it() {
    let (mut engine, _, run) = placed(500);
    engine.register(make::worker("w1", 2, 16_000));
    assert_eq!(engine.start_command(run, START + 100), None);
}

/// Guards against two runs at once: the start may reach the next incarnation as long as it may be carried
/// out, and holds the longest lease there.
#[test]
fn a_start_without_an_answer_may_reach_a_new_incarnation_that_is_cut_off() {
    let (mut engine, worker, run) = placed(400_000);
    engine.start_command(run, START).unwrap();
    engine.start_answered(run, Err(SendError::Unknown), START + 350);
    engine.register(make::worker("w1", 2, 16_000));
    let again = starts_again(&mut engine, worker, run, START + 400);
    let lease = START + LATE + cluster::local_duration(TIMES.lease);
    assert!(again > lease, "{} ms too early", lease - again);
}

/// Guards against two runs at once: the report answers a poll that was meant for the former incarnation, so
/// that the new one has not seen a token of its own when it is cut off.
#[test]
fn a_start_without_an_answer_may_reach_an_incarnation_that_has_only_reported() {
    let (mut engine, worker, run) = placed(400_000);
    engine.start_command(run, START).unwrap();
    engine.start_answered(run, Err(SendError::Unknown), START + 350);
    make::answer(&mut engine, worker, make::report(2, 50), START + 400);
    let again = starts_again(&mut engine, worker, run, START + 425);
    let lease = START + LATE + cluster::local_duration(TIMES.lease);
    assert!(again > lease, "{} ms too early", lease - again);
}

/// Guards against two runs at once: either incarnation may have answered a start that was under way when the
/// new one registered.
#[test]
fn a_run_that_was_accepted_after_the_registration_holds_the_longest_lease() {
    check_longest_lease(true);
}

/// Guards against a worker that is never used again: a page of ends that was not acknowledged is listed
/// for ever, and the worker has not reported before its last page.
#[test]
fn a_full_page_of_ends_is_acknowledged_before_the_incarnation_has_seen_its_token() {
    let (mut engine, worker, _) = placed(500);
    engine.register(make::worker("w1", 2, 16_000));
    let other = |n: u64| {
        let task = make::task("00000000000000b2", 0, n as u32);
        make::end(n, task, 1, Outcome::Done)
    };
    let mut report = make::report(2, 50);
    report.ended = (1..=3).map(other).collect();
    report.partial = true;
    make::answer(&mut engine, worker, report, START + 100);
    make::store(&mut engine, START + 110);
    let poll = engine.poll_command(worker, START + 400).unwrap();
    assert_eq!(poll.acked, 3);
}

/// Guards against an owner that ends its term because of its own token, and against one that goes on beside
/// a successor.
#[test]
fn a_refusal_ends_the_term_unless_the_token_was_renewed() {
    for renewed in [true, false] {
        let (mut engine, _, run) = placed(500);
        engine.start_command(run, START + 100).unwrap();
        if renewed {
            engine.register(make::worker("w1", 2, 16_000));
        }
        let refused = Reply {
            verdict: Verdict::Fenced,
            clock: Some(50),
        };
        engine.start_answered(run, Ok(refused), START + 130);
        assert_eq!(engine.deposed, !renewed);
    }
}

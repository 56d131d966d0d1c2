//! Safety rules of the owner, one for each test: what it must never do, whatever it learns and in
//! which order.

use assert_matches::assert_matches;
use bamboolock::cell::{
    engine::{
        Action,
        Engine,
        SubmissionStatus,
        Submitted,
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
    START, //
};

const JOB: &str = "00000000000000a1";

/// Creates a second owner that has loaded what the first one stored.
fn successor(stored: &[(String, Option<Vec<u8>>)], now: u64) -> Engine {
    let records = stored.iter();
    make::successor(
        records.map(|(key, value)| (key.as_str(), value.as_deref())),
        now,
    )
}

#[test]
fn a_job_starts_only_once_it_is_stored() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let work = make::work(vec![make::step(1, 1_000)]);
    engine
        .submit(JOB, make::queue("q", 0), work, START)
        .unwrap();
    assert_eq!(make::starts(&mut engine, START), []);
    assert_eq!(engine.visible_state(JOB), None);
    make::store(&mut engine, START);
    assert_eq!(make::starts(&mut engine, START).len(), 1);
    assert_eq!(engine.visible_state(JOB), Some(State::Pending));
}

#[test]
fn a_repeated_submission_stays_one_job_and_waits_for_the_same_batch() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let work = make::work(vec![make::step(1, 1_000)]);
    let first = engine
        .submit(JOB, make::queue("q", 0), work.clone(), START)
        .unwrap();
    let (batch, _) = engine.take_batch().unwrap();
    let again = engine
        .submit(JOB, make::queue("q", 0), work.clone(), START)
        .unwrap();
    assert_eq!(first, again);
    engine.batch_stored(batch, START);
    assert_eq!(
        engine.submit(JOB, make::queue("q", 0), work, START),
        Ok(Submitted::Known)
    );
    assert_eq!(engine.jobs.len(), 1);
}

#[test]
fn a_job_is_withdrawn_only_before_it_is_sent_to_the_store() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let work = make::work(vec![make::step(1, 1_000)]);
    engine
        .submit(JOB, make::queue("q", 0), work.clone(), START)
        .unwrap();
    assert!(engine.withdraw(JOB));
    assert!(!engine.is_known(JOB));
    assert_eq!(engine.take_batch(), None);
    engine
        .submit(JOB, make::queue("q", 0), work, START)
        .unwrap();
    engine.take_batch().unwrap();
    assert!(!engine.withdraw(JOB), "it may be stored");
    assert!(engine.is_known(JOB));
}

#[test]
fn a_withdrawn_job_is_not_accepted_with_its_former_batch() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let work = make::work(vec![make::step(1, 1_000)]);
    let queue = make::queue("q", 0);
    let first = engine.submit(JOB, queue.clone(), work.clone(), START);
    // The same job is submitted through another instance; both requests wait for one batch.
    assert_eq!(
        first,
        engine.submit(JOB, queue.clone(), work.clone(), START)
    );
    assert!(engine.withdraw(JOB), "the first request is abandoned");
    let other = "00000000000000a2";
    engine.submit(other, queue, work, START).unwrap();
    make::store(&mut engine, START + 10);
    assert_eq!(engine.submission_status(JOB), SubmissionStatus::Withdrawn);
    assert_eq!(engine.submission_status(other), SubmissionStatus::Stored);
}

#[test]
fn completed_is_shown_only_once_it_is_stored() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    make::submit(
        &mut engine,
        JOB,
        make::queue("q", 0),
        make::work(vec![make::step(1, 1_000)]),
        START,
    );
    let runs = make::starts(&mut engine, START);
    make::accept(&mut engine, &runs, START);
    let key = engine.cluster.find_worker("w1").unwrap();
    let mut report = make::report(1, 900);
    report.ended = vec![make::end(1, make::task(JOB, 0, 0), 1, Outcome::Done)];
    make::answer(&mut engine, key, report, START + 400);
    assert_eq!(engine.visible_state(JOB), Some(State::Running));
    let order = engine.poll_command(key, START + 401);
    assert_eq!(
        order, None,
        "the end must not be forgotten before it is stored"
    );
    make::store(&mut engine, START + 410);
    assert_eq!(engine.visible_state(JOB), Some(State::Completed));
    assert_eq!(engine.poll_command(key, START + 411).unwrap().acked, 1);
}

#[test]
fn failed_runs_count_once_and_in_any_order() {
    let mut engine = make::owner(&[("w1", 16_000), ("w2", 16_000)]);
    make::submit(
        &mut engine,
        JOB,
        make::queue("q", 0),
        make::work(vec![make::step(1, 1_000)]),
        START,
    );
    let stored = {
        let work = make::work(vec![make::step(1, 1_000)]);
        let mut first = make::owner(&[]);
        first.submit(JOB, make::queue("q", 0), work, START).unwrap();
        make::store(&mut first, START)
    };
    let mut next = successor(&stored, START);
    for id in ["w1", "w2"] {
        next.register(make::worker(id, 1, 16_000));
    }
    // The later failure is reported first, and then once more.
    for (id, run) in [("w1", 2), ("w2", 1)] {
        let key = next.cluster.find_worker(id).unwrap();
        let mut report = make::report(1, 500);
        report.ended = vec![make::end(1, make::task(JOB, 0, 0), run, Outcome::Failed)];
        make::answer(&mut next, key, report, START);
    }
    next.tick(START + 10);
    make::store(&mut next, START + 10);
    assert_eq!(next.visible_state(JOB), Some(State::Failed));
    assert_eq!(make::starts(&mut next, START + 20), []);
}

#[test]
fn a_failure_reported_during_a_later_run_counts() {
    let mut first = make::owner(&[]);
    let work = make::work(vec![make::step(1, 1_000)]);
    first.submit(JOB, make::queue("q", 0), work, START).unwrap();
    let stored = make::store(&mut first, START);
    let mut next = successor(&stored, START);
    for id in ["w1", "w2"] {
        next.register(make::worker(id, 1, 16_000));
    }
    let w2 = next.cluster.find_worker("w2").unwrap();
    let mut report = make::report(1, 500);
    report.running = vec![make::live(JOB, 0, 0, 2)];
    make::answer(&mut next, w2, report, START);
    let w1 = next.cluster.find_worker("w1").unwrap();
    let mut report = make::report(1, 500);
    report.ended = vec![make::end(1, make::task(JOB, 0, 0), 1, Outcome::Failed)];
    make::answer(&mut next, w1, report, START);
    let mut report = make::report(1, 900);
    report.ended = vec![make::end(1, make::task(JOB, 0, 0), 2, Outcome::Failed)];
    make::answer(&mut next, w2, report, START + 400);
    next.tick(START + 410);
    assert_eq!(
        make::starts(&mut next, START + 420),
        [],
        "both attempts are used up"
    );
}

#[test]
fn inherited_tasks_wait_for_every_worker_and_new_ones_do_not() {
    let mut first = make::owner(&[]);
    for id in ["w1", "w2"] {
        first.register(make::worker(id, 1, 16_000));
    }
    let work = make::work(vec![make::step(1, 1_000)]);
    first
        .submit(JOB, make::queue("q", 0), work.clone(), START)
        .unwrap();
    let stored = make::store(&mut first, START);
    let mut next = successor(&stored, START);
    for id in ["w1", "w2"] {
        next.register(make::worker(id, 1, 16_000));
    }
    let w1 = next.cluster.find_worker("w1").unwrap();
    make::answer(&mut next, w1, make::report(1, 500), START);
    next.tick(START + 10);
    assert_eq!(
        make::starts(&mut next, START + 10),
        [],
        "the task may run on w2"
    );
    make::submit(
        &mut next,
        "00000000000000b2",
        make::queue("q", 0),
        work,
        START + 20,
    );
    assert_eq!(make::starts(&mut next, START + 20).len(), 1);
    // A partitioned owner may have sent commands for six seconds, with leases of six more.
    next.tick(START + 12_000);
    assert_eq!(make::starts(&mut next, START + 12_000), []);
    next.tick(START + 12_600);
    let starts = make::starts(&mut next, START + 12_600);
    assert_eq!(starts.len(), 1);
    assert!(
        next.cluster.runs[starts[0]].number > 1,
        "run numbers of the first owner are left out"
    );
}

#[test]
fn runs_on_a_silent_worker_restart_only_after_their_lease_has_expired() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    make::submit(
        &mut engine,
        JOB,
        make::queue("q", 0),
        make::work(vec![make::step(1, 1_000)]),
        START,
    );
    let runs = make::starts(&mut engine, START);
    make::accept(&mut engine, &runs, START);
    make::join(&mut engine, "w2", START);
    let key = engine.cluster.find_worker("w1").unwrap();
    let order = engine.poll_command(key, START + 10).unwrap();
    let lease = order.lease_end.unwrap() - 500;
    engine.poll_failed(key, START + 1_500);
    // Further polls must not renew the lease, or the run would never be restarted.
    let mut now = START + 1_500;
    while now < START + lease + 10 {
        now += 250;
        if let Some(order) = engine.poll_command(key, now) {
            assert_eq!(order.lease_end, None);
            engine.poll_failed(key, now);
        }
        engine.tick(now.min(START + lease));
        if now <= START + lease {
            assert_eq!(
                make::starts(&mut engine, now),
                [],
                "the run may still be alive at {now}"
            );
        }
    }
    // An earlier owner may have renewed the lease to its longest end right before.
    let late = START + (6_000.0 * 1.03) as u64 + 100;
    engine.tick(late);
    assert_eq!(make::starts(&mut engine, late).len(), 1);
}

#[test]
fn an_unanswered_start_keeps_its_capacity_until_it_expires() {
    let mut engine = make::owner(&[("w1", 1_000)]);
    make::submit(
        &mut engine,
        JOB,
        make::queue("q", 0),
        make::work(vec![make::step(2, 600)]),
        START,
    );
    let runs = make::starts(&mut engine, START);
    assert_eq!(runs.len(), 1, "no capacity for the second task");
    let order = engine.start_command(runs[0], START).unwrap();
    engine.start_answered(runs[0], Err(SendError::Unknown), START + 350);
    let key = engine.cluster.find_worker("w1").unwrap();
    let clock = |now: u64| now - START + 500;
    // The worker does not report the run yet: the command may still be on its way.
    make::answer(
        &mut engine,
        key,
        make::report(1, clock(START + 400)),
        START + 400,
    );
    assert_eq!(make::starts(&mut engine, START + 400), []);
    assert_eq!(engine.cluster.workers[key].used.millicores, 600);
    let late = START + (order.expires_at - 500) + 200;
    make::answer(&mut engine, key, make::report(1, clock(late)), late);
    let again = make::starts(&mut engine, late);
    assert_eq!(again.len(), 1);
    assert_eq!(engine.cluster.runs[again[0]].number, 2);
}

#[test]
fn a_new_worker_incarnation_gets_no_tasks_before_its_capacity_is_known() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    make::submit(
        &mut engine,
        JOB,
        make::queue("q", 0),
        make::work(vec![make::step(4, 4_000)]),
        START,
    );
    let runs = make::starts(&mut engine, START);
    make::accept(&mut engine, &runs, START);
    let key = engine.cluster.find_worker("w1").unwrap();
    // The report of the new incarnation arrives before its registration, which has less capacity.
    make::answer(&mut engine, key, make::report(2, 10), START + 850);
    assert_eq!(make::starts(&mut engine, START + 860), []);
    engine.register(make::worker("w1", 2, 8_000));
    make::store(&mut engine, START + 865);
    // The report answers a poll with the token of the former incarnation.
    assert_eq!(make::starts(&mut engine, START + 868), []);
    make::answer(&mut engine, key, make::report(2, 30), START + 870);
    assert_eq!(make::starts(&mut engine, START + 870).len(), 2);
}

#[test]
fn ended_runs_are_acknowledged_only_to_the_incarnation_that_reported_them() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    make::submit(
        &mut engine,
        JOB,
        make::queue("q", 0),
        make::work(vec![make::step(2, 1_000)]),
        START,
    );
    let runs = make::starts(&mut engine, START);
    make::accept(&mut engine, &runs, START);
    let key = engine.cluster.find_worker("w1").unwrap();
    let mut report = make::report(1, 900);
    report.ended = vec![make::end(1, make::task(JOB, 0, 0), 1, Outcome::Done)];
    report.running = vec![make::live(JOB, 0, 1, 1)];
    make::answer(&mut engine, key, report, START + 400);
    make::store(&mut engine, START + 410);
    // The acknowledgement is lost, and the worker may have restarted by the next one.
    assert_eq!(engine.poll_command(key, START + 420).unwrap().acked, 1);
    engine.poll_failed(key, START + 1_900);
    assert_eq!(engine.poll_command(key, START + 2_200).unwrap().acked, 0);
    engine.apply_report(
        key,
        START + 2_200,
        0,
        &make::report(1, 2_700),
        START + 2_250,
    );
    assert_eq!(engine.poll_command(key, START + 2_260).unwrap().acked, 1);
}

#[test]
fn an_unwanted_run_is_stopped_and_keeps_its_capacity_until_it_ends() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let key = engine.cluster.find_worker("w1").unwrap();
    make::submit(
        &mut engine,
        JOB,
        make::queue("q", 0),
        make::work(vec![make::step(1, 16_000)]),
        START,
    );
    let runs = make::starts(&mut engine, START);
    make::accept(&mut engine, &runs, START);
    engine.cancel(JOB, START + 10).unwrap();
    let stops = std::mem::take(&mut engine.actions);
    assert_matches!(stops[..], [Action::Stop(run)] if run == runs[0]);
    make::submit(
        &mut engine,
        "00000000000000b2",
        make::queue("q", 0),
        make::work(vec![make::step(1, 1_000)]),
        START,
    );
    assert_eq!(
        make::starts(&mut engine, START + 20),
        [],
        "what is being stopped still counts"
    );
    engine.stop_command(runs[0], START + 20).unwrap();
    let reply = Reply {
        verdict: Verdict::Accepted,
        clock: None,
    };
    engine.stop_answered(runs[0], Ok(reply), START + 30);
    let mut report = make::report(1, 700);
    report.ended = vec![make::end(1, make::task(JOB, 0, 0), 1, Outcome::Stopped)];
    make::answer(&mut engine, key, report, START + 200);
    assert_eq!(make::starts(&mut engine, START + 210).len(), 1);
}

#[test]
fn a_start_that_arrives_after_its_job_was_cancelled_is_stopped() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    make::submit(
        &mut engine,
        JOB,
        make::queue("q", 0),
        make::work(vec![make::step(1, 1_000)]),
        START,
    );
    let runs = make::starts(&mut engine, START);
    engine.start_command(runs[0], START).unwrap();
    engine.start_answered(runs[0], Err(SendError::Unknown), START + 350);
    engine.cancel(JOB, START + 360).unwrap();
    engine.actions.clear();
    let key = engine.cluster.find_worker("w1").unwrap();
    let mut report = make::report(1, 1_400);
    report.running = vec![make::live(JOB, 0, 0, 1)];
    make::answer(&mut engine, key, report, START + 900);
    engine.tick(START + 925);
    assert_matches!(&engine.actions[..], [.., Action::Stop(run)] | [Action::Stop(run), ..] if *run == runs[0]);
}

#[test]
fn steps_wait_for_their_dependencies() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let mut second = make::step(1, 1_000);
    second.depends_on = vec![0];
    make::submit(
        &mut engine,
        JOB,
        make::queue("q", 0),
        make::work(vec![make::step(2, 1_000), second]),
        START,
    );
    let runs = make::starts(&mut engine, START);
    assert_eq!(runs.len(), 2);
    make::accept(&mut engine, &runs, START);
    let key = engine.cluster.find_worker("w1").unwrap();
    for (index, want) in [(0, 0), (1, 1)] {
        let now = START + 500 + u64::from(index);
        let mut report = make::report(1, 1_000);
        report.running = (index + 1..2).map(|i| make::live(JOB, 0, i, 1)).collect();
        report.ended = vec![make::end(
            u64::from(index) + 1,
            make::task(JOB, 0, index),
            1,
            Outcome::Done,
        )];
        make::store(&mut engine, now);
        make::answer(&mut engine, key, report, now);
        assert_eq!(make::starts(&mut engine, now).len(), want);
    }
}

#[test]
fn a_gang_is_placed_whole_and_restarts_only_after_all_members_have_ended() {
    let mut engine = make::owner(&[("w1", 8_000), ("w2", 8_000)]);
    let mut gang = make::step(4, 4_000);
    gang.gang = true;
    let filler = make::work(vec![make::step(1, 4_000)]);
    make::submit(
        &mut engine,
        "00000000000000b2",
        make::queue("q", 0),
        filler,
        START,
    );
    let filler = make::starts(&mut engine, START);
    make::submit(
        &mut engine,
        JOB,
        make::queue("q", 0),
        make::work(vec![gang]),
        START,
    );
    assert_eq!(
        make::starts(&mut engine, START),
        [],
        "three of four would fit"
    );
    make::accept(&mut engine, &filler, START);
    engine.cancel("00000000000000b2", START).unwrap();
    let key = engine
        .cluster
        .find_worker(&make::place(&engine, filler[0]))
        .unwrap();
    let mut report = make::report(1, 600);
    report.ended = vec![make::end(
        1,
        make::task("00000000000000b2", 0, 0),
        1,
        Outcome::Stopped,
    )];
    make::answer(&mut engine, key, report, START + 100);
    let runs = make::starts(&mut engine, START + 100);
    assert_eq!(runs.len(), 4);
    make::accept(&mut engine, &runs, START + 100);
    make::store(&mut engine, START + 100);
    // One member fails; the other members are still running.
    let w1 = engine.cluster.find_worker("w1").unwrap();
    let on_w1: Vec<u32> = (0..4)
        .filter(|i| make::place(&engine, runs[*i as usize]) == "w1")
        .collect();
    let number = engine.cluster.workers[w1].last_outcome + 1;
    let mut report = make::report(1, 800);
    report.ended = vec![make::end(
        number,
        make::task(JOB, 0, on_w1[0]),
        1,
        Outcome::Failed,
    )];
    report.running = vec![make::live(JOB, 0, on_w1[1], 1)];
    make::answer(&mut engine, w1, report, START + 300);
    make::store(&mut engine, START + 300);
    assert_eq!(make::starts(&mut engine, START + 310), []);
    for id in ["w1", "w2"] {
        let key = engine.cluster.find_worker(id).unwrap();
        let taken = engine.cluster.workers[key].last_outcome;
        let mine = (0..4).filter(|i| {
            engine
                .cluster
                .runs
                .get(runs[*i as usize])
                .is_some_and(|r| r.worker == key)
        });
        let mut report = make::report(1, 1_000);
        let ends = mine.enumerate();
        report.ended = ends
            .map(|(n, i)| {
                make::end(
                    taken + 1 + n as u64,
                    make::task(JOB, 0, i),
                    1,
                    Outcome::Broken,
                )
            })
            .collect();
        make::store(&mut engine, START + 500);
        make::answer(&mut engine, key, report, START + 500);
    }
    let again = make::starts(&mut engine, START + 510);
    assert_eq!(again.len(), 4);
    assert!(
        again
            .iter()
            .all(|run| engine.cluster.runs[*run].number == 2)
    );
}

#[test]
fn invalid_jobs_are_refused_with_the_path_of_the_error() {
    let mut engine = make::owner(&[]);
    let mut late = make::step(1, 1_000);
    late.depends_on = vec![1];
    let rows = [
        (vec![], "/steps"),
        (vec![make::step(0, 1)], "/steps/0"),
        (vec![make::step(1, 1), late], "/steps/1"),
        (vec![make::step(20_001, 1)], "/steps"),
    ];
    for (steps, place) in rows {
        let error = engine
            .submit(JOB, make::queue("q", 0), make::work(steps), START)
            .unwrap_err();
        assert!(error.starts_with(place), "{error}");
        assert!(!engine.is_known(JOB));
    }
}

#[test]
fn a_higher_token_at_a_worker_ends_the_term() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    make::submit(
        &mut engine,
        JOB,
        make::queue("q", 0),
        make::work(vec![make::step(1, 1_000)]),
        START,
    );
    let runs = make::starts(&mut engine, START);
    engine.start_command(runs[0], START).unwrap();
    let reply = Reply {
        verdict: Verdict::Fenced,
        clock: Some(900),
    };
    engine.start_answered(runs[0], Ok(reply), START + 10);
    assert!(engine.deposed);
    assert_eq!(make::starts(&mut engine, START + 20), []);
}

#[test]
fn an_owner_without_the_store_stops_commanding_before_a_successor_stops_waiting() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    engine.proven_at = START;
    make::submit(
        &mut engine,
        JOB,
        make::queue("q", 0),
        make::work(vec![make::step(1, 1_000)]),
        START,
    );
    let runs = make::starts(&mut engine, START);
    make::accept(&mut engine, &runs, START);
    make::submit(
        &mut engine,
        "00000000000000b2",
        make::queue("q", 0),
        make::work(vec![make::step(1, 1_000)]),
        START,
    );
    engine.pass_needed = true;
    let key = engine.cluster.find_worker("w1").unwrap();
    assert!(
        engine
            .poll_command(key, START + 5_900)
            .unwrap()
            .lease_end
            .is_some()
    );
    let mut report = make::report(1, 6_500);
    report.running = vec![make::live(JOB, 0, 0, 1)];
    engine.apply_report(key, START + 5_900, 0, &report, START + 6_000);
    assert_eq!(make::starts(&mut engine, START + 6_001), []);
    assert_eq!(
        engine.poll_command(key, START + 6_001).unwrap().lease_end,
        None
    );
    engine.proven_at = START + 7_000;
    assert_eq!(make::starts(&mut engine, START + 7_000).len(), 1);
}

#[test]
fn tasks_go_only_where_service_label_and_spread_allow() {
    let mut engine = make::owner(&[("w1", 16_000), ("w2", 16_000), ("w3", 16_000)]);
    let mut other = make::worker("w2", 1, 16_000);
    other.service = "another".into();
    engine.register(other);
    let mut labelled = make::worker("w3", 1, 16_000);
    labelled.labels = vec!["fast".into(), "rack".into()];
    engine.register(labelled);
    let mut step = make::step(5, 1_000);
    step.label = "fast".into();
    step.max_per_worker = 2;
    make::submit(
        &mut engine,
        JOB,
        make::queue("q", 0),
        make::work(vec![step]),
        START,
    );
    let runs = make::starts(&mut engine, START);
    let places: Vec<String> = runs.iter().map(|run| make::place(&engine, *run)).collect();
    assert_eq!(
        places,
        ["w3", "w3"],
        "two of five, on the only worker of that label"
    );
}

#[test]
fn a_draining_worker_gets_no_new_tasks() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let mut leaving = make::worker("w1", 1, 16_000);
    leaving.availability = bamboolock::cell::model::Availability::Draining;
    engine.register(leaving);
    make::submit(
        &mut engine,
        JOB,
        make::queue("q", 0),
        make::work(vec![make::step(1, 1_000)]),
        START,
    );
    assert_eq!(make::starts(&mut engine, START), []);
    engine.register(make::worker("w1", 1, 16_000));
    assert_eq!(make::starts(&mut engine, START).len(), 1);
}

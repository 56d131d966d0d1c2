//! Workers whose address is now used by another worker, and workers that refuse polls.

use bamboolock::cell::{
    engine::Engine,
    job::RunKey,
    model::{
        Reply,
        Verdict, //
    }, //
};

use super::make::{
    self,
    START, //
};

const JOB: &str = "00000000000000b1";

fn reply(verdict: Verdict) -> Reply {
    Reply {
        verdict,
        clock: None,
    }
}

/// Creates an owner with a task that runs on the only schedulable worker, and returns the runs.
fn running() -> (Engine, Vec<RunKey>) {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let work = make::work(vec![make::step(1, 1_000)]);
    make::submit(&mut engine, JOB, make::queue("q", 0), work, START);
    let runs = make::starts(&mut engine, START);
    make::accept(&mut engine, &runs, START);
    make::join(&mut engine, "w2", START);
    (engine, runs)
}

#[test]
fn runs_of_a_superseded_worker_restart_elsewhere_at_once() {
    let (mut engine, _) = running();
    let worker = engine.cluster.find_worker("w1").unwrap();
    engine.poll_command(worker, START + 100).unwrap();
    engine.poll_failed(worker, START + 1_000);
    engine.poll_command(worker, START + 1_300).unwrap();
    engine.poll_refused(worker, reply(Verdict::Reborn), START + 1_310);
    let again = make::starts(&mut engine, START + 1_320);
    assert_eq!(again.len(), 1);
    assert_eq!(make::place(&engine, again[0]), "w2");
    engine.unregister("w1");
    assert_eq!(
        engine.cluster.find_worker("w1"),
        None,
        "nothing is left of it"
    );
}

/// Guards against tasks that wait for ever for runs of a worker that is gone (review/8): the answer to a poll
/// from before a cut, delivered after another worker has answered, lists them as running.
#[test]
fn an_answer_that_was_under_way_does_not_revive_a_superseded_worker() {
    let (mut engine, _) = running();
    let worker = engine.cluster.find_worker("w1").unwrap();
    let other = "00000000000000b2";
    let work = make::work(vec![make::step(1, 1_000)]);
    make::submit(&mut engine, other, make::queue("q", 0), work, START + 50);
    let runs = make::starts(&mut engine, START + 50);
    assert_eq!(make::place(&engine, runs[0]), "w1");
    let order = engine.poll_command(worker, START + 100).unwrap();
    engine.start_command(runs[0], START + 110).unwrap();
    engine.start_answered(runs[0], Ok(reply(Verdict::Reborn)), START + 200);
    if engine.awaits_poll(worker, order.sent_at) {
        let mut report = make::report(1, 1_000);
        report.running = vec![make::live(JOB, 0, 0, 1)];
        engine.apply_report(worker, order.sent_at, order.acked, &report, START + 250);
    }
    let again = make::starts(&mut engine, START + 300);
    assert_eq!(again.len(), 2, "both tasks start elsewhere");
    assert!(again.iter().all(|run| make::place(&engine, *run) == "w2"));
    engine.unregister("w1");
    assert_eq!(engine.cluster.find_worker("w1"), None);
}

#[test]
fn a_stop_reply_of_another_worker_also_supersedes_the_worker() {
    let (mut engine, runs) = running();
    let worker = engine.cluster.find_worker("w1").unwrap();
    engine.poll_command(worker, START + 100).unwrap();
    engine.poll_failed(worker, START + 1_000);
    engine.cancel(JOB, START + 1_050).unwrap();
    engine.stop_command(runs[0], START + 1_060).unwrap();
    engine.stop_answered(runs[0], Ok(reply(Verdict::Reborn)), START + 1_100);
    engine.unregister("w1");
    assert_eq!(engine.cluster.find_worker("w1"), None);
    assert!(engine.cluster.runs.is_empty());
}

#[test]
fn runs_of_a_worker_that_refuses_polls_restart_elsewhere_after_their_lease() {
    let (mut engine, _) = running();
    let worker = engine.cluster.find_worker("w1").unwrap();
    let over = engine.cluster.workers[worker].leases_end;
    let mut now = START + 100;
    while now <= over {
        if engine.poll_command(worker, now).is_some() {
            engine.poll_refused(worker, reply(Verdict::Unwell), now + 5);
        }
        engine.tick(now);
        assert_eq!(
            make::starts(&mut engine, now),
            [],
            "at {now} it may still run"
        );
        now += 25;
    }
    engine.tick(over + 1);
    let again = make::starts(&mut engine, over + 1);
    assert_eq!(again.len(), 1);
    assert_eq!(make::place(&engine, again[0]), "w2");
}

#[test]
fn a_worker_that_refuses_a_poll_gets_no_tasks_until_it_reports() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let worker = engine.cluster.find_worker("w1").unwrap();
    let work = make::work(vec![make::step(1, 1_000)]);
    make::submit(&mut engine, JOB, make::queue("q", 0), work.clone(), START);
    let runs = make::starts(&mut engine, START);
    make::accept(&mut engine, &runs, START);
    engine.poll_command(worker, START + 10).unwrap();
    engine.poll_refused(worker, reply(Verdict::Unwell), START + 20);
    make::submit(
        &mut engine,
        "00000000000000b2",
        make::queue("q", 0),
        work,
        START + 30,
    );
    assert_eq!(make::starts(&mut engine, START + 30), []);
    let mut report = make::report(1, 900);
    report.running = vec![make::live(JOB, 0, 0, 1)];
    make::answer(&mut engine, worker, report, START + 400);
    assert_eq!(make::starts(&mut engine, START + 401).len(), 1);
}

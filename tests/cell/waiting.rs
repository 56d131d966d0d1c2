//! Waiting steps and runs in a cell without any other event.

use bamboolock::cell::{
    engine::{
        Action,
        Engine,
        PolicyQuery,
        commands::SendError, //
    },
    model::{
        Reply,
        Verdict, //
    }, //
};

use super::make::{
    self,
    START, //
};

const JOB: &str = "00000000000000e1";

/// Advances time until the policy is queried, without any other event.
fn asked(engine: &mut Engine, from: u64, until: u64) -> Option<(u64, PolicyQuery)> {
    for now in (from..until).step_by(25) {
        engine.tick(now);
        if engine.pass_needed {
            engine.schedule(now);
        }
        let actions = std::mem::take(&mut engine.actions).into_iter();
        let mut questions = actions.filter_map(|action| match action {
            Action::Query(question) => Some(question),
            _ => None,
        });
        if let Some(question) = questions.next() {
            return Some((now, question));
        }
    }
    None
}

#[test]
fn the_policy_is_queried_again_after_a_failed_query() {
    let mut engine = make::owner(&[("w1", 16_000), ("w2", 16_000)]);
    engine.proxies.record_heartbeat("i1", u64::MAX / 2);
    let work = make::work(vec![make::step(1, 1_000)]);
    let queue = make::advised(make::queue("q", 0));
    make::submit(&mut engine, JOB, queue, work, START);
    let (at, question) = asked(&mut engine, START, START + 1_000).unwrap();
    engine.policy_answered(&question, None, at + 700);
    let again = asked(&mut engine, at + 700, at + 5_000);
    assert!(again.is_some(), "the step waits forever");
}

#[test]
fn a_run_that_never_arrived_ends_despite_repeated_stop_commands() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let work = make::work(vec![make::step(1, 1_000)]);
    make::submit(&mut engine, JOB, make::queue("q", 0), work, START);
    let run = make::starts(&mut engine, START)[0];
    engine.start_command(run, START).unwrap();
    engine.start_answered(run, Err(SendError::Unknown), START + 350);
    engine.cancel(JOB, START + 360).unwrap();
    let accepted = Reply {
        verdict: Verdict::Accepted,
        clock: Some(1_000),
    };
    engine.stop_command(run, START + 400).unwrap();
    engine.stop_answered(run, Ok(accepted), START + 410);
    let worker = engine.cluster.find_worker("w1").unwrap();
    let order = engine.poll_command(worker, START + 500).unwrap();
    assert!(
        order.wait.as_millis() > 500,
        "the worker has nothing to tell"
    );
    // The worker delays its report; meanwhile the stop command is retried.
    engine.stop_command(run, START + 900).unwrap();
    engine.stop_answered(run, Ok(accepted), START + 910);
    let report = make::report(1, 2_000);
    engine.apply_report(worker, order.sent_at, order.acked, &report, START + 1_500);
    assert!(
        engine.cluster.runs.is_empty(),
        "the capacity of the run is free"
    );
}

#[test]
fn a_silent_worker_without_runs_is_polled_until_it_answers() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    let work = make::work(vec![make::step(1, 1_000)]);
    make::submit(&mut engine, JOB, make::queue("q", 0), work, START);
    let runs = make::starts(&mut engine, START);
    make::accept(&mut engine, &runs, START);
    let worker = engine.cluster.find_worker("w1").unwrap();
    engine.poll_command(worker, START + 100).unwrap();
    engine.poll_failed(worker, START + 1_600);
    let over = engine.cluster.workers[worker].leases_end + 1;
    engine.tick(over);
    assert!(engine.cluster.runs.is_empty(), "its leases have expired");
    assert_eq!(make::starts(&mut engine, over), []);
    engine.tick(over + 5_000);
    let polls = std::mem::take(&mut engine.actions);
    assert!(
        polls.contains(&Action::Poll(worker)),
        "no reply can end its silence"
    );
    make::answer(&mut engine, worker, make::report(1, 9_000), over + 5_100);
    // Its cordon is lifted.
    make::store(&mut engine, over + 5_120);
    assert_eq!(make::starts(&mut engine, over + 5_200).len(), 1);
}

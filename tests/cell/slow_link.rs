//! Load patterns of an owner whose link carries fewer start commands than are asked for.

use bamboolock::cell::{
    cluster::RunState,
    engine::{
        Action,
        Engine,
        commands::SendError, //
    },
    job::RunKey,
    model, //
};

use super::make::{
    self,
    START, //
};

/// Size of the specification of each job, in bytes.
const SPEC_BYTES: usize = 3_000;

fn job(count: u32, gang: bool) -> model::Submission {
    let mut step = make::step(count, 100);
    step.gang = gang;
    let mut work = make::work(vec![step]);
    work.spec = "s".repeat(SPEC_BYTES);
    work
}

fn names(engine: &Engine, runs: &[RunKey]) -> Vec<String> {
    let name = |run: &RunKey| engine.cluster.runs[*run].name.job.to_string();
    runs.iter().map(name).collect()
}

#[test]
fn an_urgent_job_does_not_wait_for_all_starts_of_a_burst() {
    let mut engine = make::owner(&[("w1", 64_000), ("w2", 64_000)]);
    make::submit(
        &mut engine,
        "00000000000000b1",
        make::queue("bulk", 2),
        job(65, false),
        START,
    );
    // 100 ms of a link of 2 Mbit/s.
    engine.start_budget = 25_000;
    let first = make::starts(&mut engine, START);
    assert!((7..=9).contains(&first.len()), "{}", first.len());
    make::submit(
        &mut engine,
        "00000000000000a1",
        make::queue("urgent", 0),
        job(2, false),
        START,
    );
    let second = make::starts(&mut engine, START + 100);
    assert_eq!(names(&engine, &second[..2]), ["00000000000000a1"; 2]);
    let mut started = first.len() + second.len();
    for pass in 2..20 {
        started += make::starts(&mut engine, START + pass * 100).len();
    }
    assert_eq!(started, 67, "all tasks are started in the end");
}

#[test]
fn a_gang_larger_than_the_budget_of_a_pass_is_started_whole() {
    let mut engine = make::owner(&[("w1", 64_000)]);
    make::submit(
        &mut engine,
        "00000000000000c1",
        make::queue("q", 0),
        job(20, true),
        START,
    );
    engine.start_budget = 0;
    assert_eq!(make::starts(&mut engine, START).len(), 0);
    engine.start_budget = 1_000;
    assert_eq!(make::starts(&mut engine, START + 100).len(), 20);
}

#[test]
fn a_lost_answer_of_a_relay_does_not_make_the_worker_silent() {
    let (mut engine, run) = make::placed("00000000000000d1");
    engine.start_command(run, START).unwrap();
    engine.start_answered(run, Err(SendError::Relay), START + 700);
    let worker = engine.cluster.runs[run].worker;
    assert_eq!(engine.cluster.workers[worker].silent_since, None);
    // The command may have been carried out: the run is kept and the command repeated.
    assert_eq!(engine.cluster.runs[run].state, RunState::Unanswered);
    assert_eq!(engine.relay_for(run), None, "it is repeated directly");
}

#[test]
fn only_the_instance_that_received_a_job_relays_its_starts() {
    let (mut engine, run) = make::placed("00000000000000d2");
    assert_eq!(engine.relay_for(run), None);
    engine.set_origin("00000000000000d2", "i1");
    engine.set_origin("00000000000000d2", "i2");
    assert_eq!(engine.relay_for(run).as_deref(), Some("i1"));
}

#[test]
fn the_next_owner_knows_which_instance_can_relay_a_job() {
    let mut engine = make::owner(&[("w1", 16_000)]);
    engine
        .submit(
            "00000000000000e1",
            make::queue("q", 0),
            job(1, false),
            START,
        )
        .unwrap();
    engine.set_origin("00000000000000e1", "i1");
    let stored = make::store(&mut engine, START);
    let records = stored.iter().map(|(k, v)| (k.as_str(), v.as_deref()));
    let next = make::successor(records, START + 1_000);
    assert_eq!(next.jobs.values().next().unwrap().origin, "i1");
}

#[test]
fn a_new_owner_asks_thousands_of_workers_some_at_a_time() {
    let mut engine = Engine::new(1, make::TIMES);
    engine.proven_at = u64::MAX / 2;
    for n in 0..3_000 {
        engine.register(make::worker(&format!("w{n}"), 1, 16_000));
    }
    let mut asked = 0;
    for now in (START..).step_by(25).take(40) {
        engine.tick(now);
        let mut polls = 0;
        for action in std::mem::take(&mut engine.actions) {
            let Action::Poll(worker) = action else {
                continue;
            };
            let order = engine.poll_command(worker, now).unwrap();
            engine.apply_report(worker, order.sent_at, 0, &make::report(1, 500), now);
            polls += 1;
        }
        assert!(polls <= 256, "{polls} polls at once");
        asked += polls;
    }
    assert_eq!(asked, 3_000, "all workers are asked within a second");
}

#[test]
fn a_command_that_no_relay_sent_is_not_sent_after_what_allowed_it_has_ended() {
    let id = "00000000000000d3";
    let (mut engine, run) = make::placed(id);
    engine.proven_at = START;
    engine.start_command(run, START).unwrap();
    assert!(engine.may_still_start(run, START + 100));
    // Its validity by the worker's clock is over, as after a pause of this process.
    assert!(!engine.may_still_start(run, START + 2_500));
    engine.cancel(id, START + 100);
    assert!(!engine.may_still_start(run, START + 100), "cancelled");
    let (mut engine, run) = make::placed(id);
    engine.start_command(run, START).unwrap();
    engine.proven_at = 0;
    assert!(
        !engine.may_still_start(run, START + 100),
        "no proof of ownership"
    );
}
